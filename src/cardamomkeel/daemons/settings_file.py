"""Reads the settings file of a long-running program at its start."""

import pathlib
import typing

from cardamomkeel import logs
from cardamomkeel.daemons import start
from cardamomkeel.settings import reader

Settings = typing.TypeVar("Settings")


def read(path: pathlib.Path, model: type[Settings]) -> Settings:
    """Returns validated settings and sets up logging.

    Exits the process with an error if the file is missing or invalid.
    """
    cfg = start.unwrap_or_exit(
        reader.read_file(path, model, "name it with --settings")
    )
    logs.set_up(cfg.name, cfg.log_level)
    return cfg
