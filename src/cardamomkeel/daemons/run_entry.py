"""Runs the program of an entry and sets its exit status."""

import collections.abc
import typing

import anyio
import typer

from cardamomkeel.daemons import start

Settings = typing.TypeVar("Settings")

# The exit status after a stop that may have aborted requests.
INCOMPLETE_STOP_STATUS = 3


def run(
    program: collections.abc.Callable[
        [Settings], collections.abc.Awaitable[bool]
    ],
    cfg: Settings,
) -> None:
    """Runs a program until it stops.

    Args:
        program: Returns False if requests may have been aborted.
        cfg: The settings of the program.

    Raises:
        typer.Exit: Requests may have been aborted.
    """
    options = {"use_uvloop": True}
    was_clean = start.run_to_end(
        lambda: anyio.run(program, cfg, backend_options=options)
    )
    if not was_clean:
        raise typer.Exit(INCOMPLETE_STOP_STATUS)
