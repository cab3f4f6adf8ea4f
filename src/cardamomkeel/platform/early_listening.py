"""Listens for callers before the program that serves them is loaded.

Loading the program takes most of its start time. After a power failure all
callers reconnect at once, and each refused connection would use up one of a
caller's few attempts.
"""

import json
import os

from cardamomkeel import listening

# The environment variable that holds the path of the settings file.
PATH_VARIABLE = "CARDAMOMKEEL_NODE_FILE"


def listen() -> None:
    """Listens at the callers' address, if the settings file can be read.

    Connections wait in the backlog until the program accepts them.
    """
    try:
        with open(os.environ[PATH_VARIABLE], "rb") as file:
            settings = json.load(file)
        listening.open_early(settings["network"]["listen"]["front"])
    except (
        OSError,
        ValueError,
        LookupError,
        TypeError,
        AttributeError,
        RecursionError,
    ):
        # Once loaded, the program fails with the same error and logs it.
        return
