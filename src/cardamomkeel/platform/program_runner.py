"""Loads the modules of a program and runs it."""

import gc
import importlib

import uvloop

from cardamomkeel import logs
from cardamomkeel.daemons import start


def main(name: str, module: str) -> int:
    """Runs a program until a signal to stop; returns the exit status.

    Args:
        name: The name of the program, for its log lines.
        module: Dotted name of the module to import; its `run` coroutine is the
            program.
    """
    logs.set_up(name)
    program = importlib.import_module(module)
    # Excludes the loaded modules, which are never freed, from collections.
    gc.freeze()
    gc.enable()
    start.run_to_end(lambda: uvloop.run(program.run()))
    return 0
