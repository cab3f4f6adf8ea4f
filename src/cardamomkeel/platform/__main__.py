"""Starts a program on the platform: `python3 -m cardamomkeel.platform front`.

Only what the named program needs is imported: the time and the memory that an
import takes count on small VMs.
"""

import importlib
import sys

import uvloop

PROGRAMS = {
    "front": "cardamomkeel.platform.front",
    "core": "cardamomkeel.platform.core",
}


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
    program = importlib.import_module(PROGRAMS[args[0]])
    uvloop.run(program.run())
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
