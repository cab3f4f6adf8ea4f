"""What the long-running programs do alike at their start and end."""

import dataclasses
import pathlib
import signal
import sys
import typing

import anyio
import loguru
from returns import result

from cardamomkeel import errors
from cardamomkeel import logs
from cardamomkeel.settings import reader

Settings = typing.TypeVar("Settings")

logger = loguru.logger


def fail(error: errors.Error) -> typing.NoReturn:
    """Ends the program with an error and its remedy."""
    logger.error(error.message, kind=error.kind, remedy=error.remedy)
    print(f"error: {error.message}\nremedy: {error.remedy}", file=sys.stderr)
    sys.exit(1)


def read_settings(path: pathlib.Path, model: type[Settings]) -> Settings:
    """Returns checked settings, or ends the program."""
    read = reader.read_file(path, model, "name it with --settings")
    if not isinstance(read, result.Success):
        fail(read.failure())
    cfg = read.unwrap()
    logs.set_up(cfg.name, cfg.log_level)
    return cfg


def unwrap(got: result.Result[Settings, errors.Error]) -> Settings:
    """Returns what was got, or ends the program."""
    if not isinstance(got, result.Success):
        fail(got.failure())
    return got.unwrap()


@dataclasses.dataclass
class StopSignals:
    """What the signals to end have asked for so far.

    Attributes:
        asked: Set on the first signal: end once nothing is cut.
        pressed: Set on the second signal: end now.
    """

    asked: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    pressed: anyio.Event = dataclasses.field(default_factory=anyio.Event)

    async def watch(self) -> None:
        """Sets the events as signals come."""
        watched = (signal.SIGTERM, signal.SIGINT)
        with anyio.open_signal_receiver(*watched) as signals:
            async for number in signals:
                if self.asked.is_set():
                    logger.warning("stops at once", signal=int(number))
                    self.pressed.set()
                else:
                    logger.info("stops", signal=int(number))
                    self.asked.set()


async def wait_for_stop(stop: anyio.Event) -> None:
    """Sets an event on the first signal to end; logs the others."""
    with anyio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as signals:
        async for number in signals:
            if stop.is_set():
                logger.warning("is stopping already", signal=int(number))
            else:
                logger.info("stops", signal=int(number))
                stop.set()
