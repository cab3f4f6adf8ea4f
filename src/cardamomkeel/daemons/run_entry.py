"""Runs the program of an entry from its command line."""

import collections.abc
import typing

import anyio
import typer

from cardamomkeel.daemons import start

Settings = typing.TypeVar("Settings")

# Exit status of a stop that may have cut requests.
INCOMPLETE_STOP_STATUS = 3


def run(
    program: collections.abc.Callable[
        [Settings], collections.abc.Awaitable[bool]
    ],
    cfg: Settings,
) -> None:
    """Runs a program until it has stopped.

    Args:
        program: Returns False where requests were cut.
        cfg: Its settings.

    Raises:
        typer.Exit: Requests were cut.
    """
    options = {"use_uvloop": True}
    was_clean = start.run_to_end(
        lambda: anyio.run(program, cfg, backend_options=options)
    )
    if not was_clean:
        raise typer.Exit(INCOMPLETE_STOP_STATUS)
