"""Signals that start a planned stop, and then an immediate one."""

import dataclasses
import signal

import anyio
import loguru

logger = loguru.logger


@dataclasses.dataclass
class StopSignals:
    """Events that the stop signals of a process set.

    Attributes:
        stop_requested: Set on the first signal: stop after all requests are
            finished.
        immediate_stop_requested: Set on the second signal: stop now.
    """

    stop_requested: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    immediate_stop_requested: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )

    async def watch(self) -> None:
        """Sets the events when SIGTERM or SIGINT arrives."""
        watched = (signal.SIGTERM, signal.SIGINT)
        with anyio.open_signal_receiver(*watched) as signals:
            async for number in signals:
                if self.stop_requested.is_set():
                    logger.warning("stopping immediately", signal=int(number))
                    self.immediate_stop_requested.set()
                else:
                    logger.info("received stop signal", signal=int(number))
                    self.stop_requested.set()
