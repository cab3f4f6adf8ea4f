"""Listens for callers before the program that serves them is loaded.

To load the program takes most of its start. After a loss of power all callers
are back at once: refused, each would use up one of its few attempts.
"""

import json
import os

from cardamomkeel import listening

# Where the path of the settings file stands.
PATH_VARIABLE = "CARDAMOMKEEL_NODE_FILE"


def listen() -> None:
    """Has callers wait to be accepted, where the settings file names where."""
    try:
        with open(os.environ[PATH_VARIABLE], "rb") as file:
            settings = json.load(file)
        listening.open_early(settings["network"]["listen"]["front"])
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        # The program meets the same fault once it is loaded, and logs it.
        return
