"""What both programs on the platform do alike."""

import collections.abc
import os
import signal

import anyio
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel import listening
from cardamomkeel import logs
from cardamomkeel.daemons import start
from cardamomkeel.gateway import http_server
from cardamomkeel.gateway import messages
from cardamomkeel.platform import early
from cardamomkeel.platform import node_file

# The file may change without a signal, and is read again this often.
READ_AGAIN_MS = 1000.0
# Ports of the range that is free for traffic between VMs.
CONTROL_PORT = 0
LOADS_PORT = 1
OPERATORS_PORT = 2
# Where the platform fetches metrics: `metrics` of deploy/system.toml.
METRICS_PORT = 9464

logger = loguru.logger


class NodeFile:
    """The settings file, followed while the process runs.

    Attributes:
        read: What it said when it could be read last.
    """

    def __init__(self, needed: collections.abc.Sequence[str]):
        """Reads it, or ends the program.

        Args:
            needed: Fields that the program needs, by their path.
        """
        self._path = os.environ.get(early.PATH_VARIABLE)
        self._needed = needed
        self.read = start.unwrap_or_exit(node_file.read(self._path, needed))
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

    def operators_address(self) -> str:
        """Returns where this process shows its metrics and its state."""
        return self.read.inner_address(self.read.own.ip, OPERATORS_PORT)

    def read_again(self) -> bool:
        """Reads it again; what can't be read leaves what was read before."""
        again = node_file.read(self._path, self._needed)
        if not isinstance(again, result.Success):
            logger.warning(
                "keeps what the settings file said", reason=str(again.failure())
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


async def show(
    file: NodeFile, handler: messages.Handler, clk: clock.Clock
) -> list[http_server.HttpServer]:
    """Shows metrics and state to operators, and metrics to the platform.

    Args:
        file: Names the VM's address and its ports.
        handler: Answers operators and the platform.
        clk: The clock.

    Returns:
        What serves them.
    """
    servers = [http_server.HttpServer(handler, clk) for _ in range(2)]
    await servers[0].start(file.operators_address())
    try:
        await servers[1].start(f"{file.read.own.ip}:{METRICS_PORT}")
    except listening.ListenError as exc:
        # The port is not one that the platform keeps free.
        logger.warning("metrics are not shown", reason=str(exc))
    return servers


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
