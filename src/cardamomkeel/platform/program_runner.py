"""Runs a program once its modules are loaded."""

import gc
import importlib

import uvloop

from cardamomkeel import logs
from cardamomkeel.daemons import start


def main(name: str, module: str) -> int:
    """Runs a program until it is told to stop.

    Args:
        name: The name of the program.
        module: The module that holds it.
    """
    logs.set_up(name)
    program = importlib.import_module(module)
    # What was loaded stays: only what the program makes is looked through.
    gc.freeze()
    gc.enable()
    start.run_to_end(lambda: uvloop.run(program.run()))
    return 0
