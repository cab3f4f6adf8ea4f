"""What both programs on the platform do alike."""

import collections.abc
import os
import signal

import anyio
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel import logs
from cardamomkeel.daemons import start
from cardamomkeel.platform import node_file

# The file may change without a signal, and is read again this often.
READ_AGAIN_MS = 1000.0
# Ports of the range that is free for traffic between VMs.
CONTROL_PORT = 0
LOADS_PORT = 1
OPERATORS_PORT = 2

logger = loguru.logger


class NodeFile:
    """The settings file, followed while the process runs.

    Attributes:
        read: What it said when it could be read last.
    """

    def __init__(self):
        self._path = os.environ.get(node_file.PATH_VARIABLE)
        self.read = start.unwrap(node_file.read(self._path))
        logs.set_up(self.read.own.node_name)
        self._changed_at = self._get_change()

    def _get_change(self) -> float | None:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError as exc:
            logger.warning("the settings file is gone", reason=repr(exc))
            return None

    def control_addresses(self) -> list[str]:
        """Returns where the control VMs that it names reach each other."""
        return [
            self.read.inner_address(seed.rpartition(":")[0], CONTROL_PORT)
            for seed in self.read.network.seeds
        ]

    def read_again(self) -> bool:
        """Reads it again; what can't be read leaves what was read before."""
        again = node_file.read(self._path)
        if not isinstance(again, result.Success):
            logger.warning(
                "keeps the settings before", reason=str(again.failure())
            )
            return False
        changed = again.unwrap() != self.read
        self.read = again.unwrap()
        if changed:
            logger.info("read the settings file again")
        return changed

    async def follow(
        self, on_change: collections.abc.Callable[[], None]
    ) -> None:
        """Reads the file again when it changes, until cancelled."""
        while True:
            await anyio.sleep(clock.seconds(READ_AGAIN_MS))
            changed_at = self._get_change()
            if changed_at != self._changed_at:
                self._changed_at = changed_at
                if self.read_again():
                    on_change()


async def wait_for_end(
    stop: anyio.Event, on_hup: collections.abc.Callable[[], None]
) -> None:
    """Sets an event on the first signal to end; SIGHUP only calls back."""
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*watched) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                logger.info("was told that the settings changed")
                on_hup()
            elif not stop.is_set():
                logger.info("stops", signal=int(number))
                stop.set()
