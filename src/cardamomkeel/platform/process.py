"""Code shared by both programs on the platform.

Follows the settings file, serves metrics and state, and handles signals.
"""

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
from cardamomkeel.gateway import held_memory
from cardamomkeel.gateway import http_server
from cardamomkeel.gateway import messages
from cardamomkeel.platform import early_listening
from cardamomkeel.platform import node_file
from cardamomkeel.platform import process_memory
from cardamomkeel.policy import body_limits

# The file may change without a signal, so it is checked at this interval.
FILE_CHECK_INTERVAL_MS = 1000.0
# Offsets in the port range for traffic between VMs.
OFFSET_OF_CONTROL_PORT = 0
OFFSET_OF_LOADS_PORT = 1
OFFSET_OF_OPERATORS_PORT = 2
# The platform fetches metrics here: `metrics` in deploy/system.toml.
METRICS_PORT = 9464

logger = loguru.logger


class WatchedNodeFile:
    """The settings file, reloaded when it changes.

    Attributes:
        current: The contents of the last valid version.
    """

    def __init__(self, required: collections.abc.Sequence[str]):
        """Reads the file, or exits with an error.

        Args:
            required: Paths of the fields that the program needs.
        """
        self._path = os.environ.get(early_listening.PATH_VARIABLE)
        self._required = required
        self.current = start.unwrap_or_exit(
            node_file.read(self._path, required)
        )
        logs.set_up(self.current.own.node_name)
        self._modified_ns = self._get_modified_ns()

    def _get_modified_ns(self) -> float | None:
        try:
            return os.stat(self._path).st_mtime_ns
        except OSError as exc:
            logger.warning("settings file is not accessible", reason=repr(exc))
            return None

    def control_addresses(self) -> list[str]:
        """Returns the addresses of the seeds for traffic between VMs."""
        return [
            self.current.internal_address(
                seed.rpartition(":")[0], OFFSET_OF_CONTROL_PORT
            )
            for seed in self.current.network.seeds
        ]

    def operators_address(self) -> str:
        """Returns the address that serves metrics and state to operators."""
        return self.current.internal_address(
            self.current.own.ip, OFFSET_OF_OPERATORS_PORT
        )

    def reload(self) -> bool:
        """Reads the file again; returns whether the settings changed.

        An invalid file leaves the settings unchanged.
        """
        reloaded = node_file.read(self._path, self._required)
        if not isinstance(reloaded, result.Success):
            logger.warning(
                "keeping previous settings file",
                reason=str(reloaded.failure()),
            )
            return False
        changed = reloaded.unwrap() != self.current
        self.current = reloaded.unwrap()
        if changed:
            logger.info("reloaded settings file")
        return changed

    async def watch(
        self, on_change: collections.abc.Callable[[], None]
    ) -> None:
        """Reloads the file when its modification time changes, until cancelled.

        Args:
            on_change: Called after the settings have changed.
        """
        while True:
            await anyio.sleep(clock.seconds(FILE_CHECK_INTERVAL_MS))
            modified_ns = self._get_modified_ns()
            if modified_ns != self._modified_ns:
                self._modified_ns = modified_ns
                if self.reload():
                    on_change()


async def serve_status(
    file: WatchedNodeFile,
    handler: messages.Handler,
    clk: clock.Clock,
    memory: held_memory.HeldMemory,
) -> list[http_server.HttpServer]:
    """Serves metrics and state to operators, and metrics to the platform.

    Args:
        file: The settings file, with the VM's address and ports.
        handler: Handles the requests of operators and the platform.
        clk: The clock.
        memory: The bytes that the process holds.

    Returns:
        The servers.
    """
    connections = process_memory.get_connections(file.current.own.limits)
    servers = [
        http_server.HttpServer(
            handler,
            clk,
            memory=memory,
            max_connections=connections,
            body_limits=body_limits.ShortBodies(),
        )
        for _ in range(2)
    ]
    await servers[0].start(file.operators_address())
    try:
        await servers[1].start(f"{file.current.own.ip}:{METRICS_PORT}")
    except listening.ListenError as exc:
        # The port is outside the range that the platform reserves, so another
        # process may use it.
        logger.warning("not serving metrics", reason=str(exc))
    return servers


async def watch_signals(
    stop: anyio.Event, on_sighup: collections.abc.Callable[[], None]
) -> None:
    """Sets `stop` on SIGTERM or SIGINT; calls `on_sighup` on each SIGHUP."""
    watched = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    with anyio.open_signal_receiver(*watched) as signals:
        async for number in signals:
            if number == signal.SIGHUP:
                logger.info("received SIGHUP")
                on_sighup()
            elif not stop.is_set():
                logger.info("received stop signal", signal=int(number))
                stop.set()
