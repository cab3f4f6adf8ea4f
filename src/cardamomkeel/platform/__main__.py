"""Starts a program on the platform: `python3 -m cardamomkeel.platform front`.

Only what the named program needs is imported: the time and the memory that an
import takes count on small VMs.
"""

import gc
import importlib
import sys

from cardamomkeel.platform import early_listening

PROGRAMS = {
    "front": "cardamomkeel.platform.front",
    "core": "cardamomkeel.platform.core",
}
# The one that callers reach.
EARLY_LISTENING_PROGRAM = "front"
# Runs a program; it is imported late, since it takes long.
RUNNER_MODULE = "cardamomkeel.platform.program_runner"


def main(args: list[str]) -> int:
    """Runs the program that the one argument names."""
    if len(args) != 1 or args[0] not in PROGRAMS:
        names = " or ".join(PROGRAMS)
        print(
            f"error: name the program to run: {names}\n"
            "remedy: python3 -m cardamomkeel.platform front",
            file=sys.stderr,
        )
        return 2
    # Nothing that an import makes is garbage; to look for some takes a sixth of
    # the time of a start. The loaded program looks again.
    gc.disable()
    if args[0] == EARLY_LISTENING_PROGRAM:
        early_listening.listen()
    runner = importlib.import_module(RUNNER_MODULE)
    return runner.main(args[0], PROGRAMS[args[0]])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
