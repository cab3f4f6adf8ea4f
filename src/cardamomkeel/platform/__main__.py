"""Starts a program on the platform: `python3 -m cardamomkeel.platform front`.

Only the modules that the named program needs are imported: imports cost time
and memory, which are scarce on small VMs.
"""

import gc
import importlib
import sys

from cardamomkeel.platform import early_listening

PROGRAMS = {
    "front": "cardamomkeel.platform.front",
    "core": "cardamomkeel.platform.core",
}
# Callers connect to this program.
EARLY_LISTENING_PROGRAM = "front"
# Imported only after the early listening, since the import is slow.
RUNNER_MODULE = "cardamomkeel.platform.program_runner"


def main(args: list[str]) -> int:
    """Runs the program named by the only argument; returns the exit status."""
    if len(args) != 1 or args[0] not in PROGRAMS:
        names = " or ".join(PROGRAMS)
        print(
            f"error: name the program to run: {names}\n"
            "remedy: python3 -m cardamomkeel.platform front",
            file=sys.stderr,
        )
        return 2
    # Imports create no garbage, and garbage collection takes a sixth of the
    # start time. `program_runner` enables it again.
    gc.disable()
    if args[0] == EARLY_LISTENING_PROGRAM:
        early_listening.listen()
    runner = importlib.import_module(RUNNER_MODULE)
    return runner.main(args[0], PROGRAMS[args[0]])


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
