"""The signals that end a program: the first one waits, the second does not."""

import dataclasses
import signal

import anyio
import loguru

logger = loguru.logger


@dataclasses.dataclass
class StopSignals:
    """What the signals to end have asked for so far.

    Attributes:
        asked: Set on the first signal: end once nothing is cut.
        pressed: Set on the second signal: end now.
    """

    stop_requested: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    immediate_stop_requested: anyio.Event = dataclasses.field(
        default_factory=anyio.Event
    )

    async def watch(self) -> None:
        """Sets the events as signals come."""
        watched = (signal.SIGTERM, signal.SIGINT)
        with anyio.open_signal_receiver(*watched) as signals:
            async for number in signals:
                if self.stop_requested.is_set():
                    logger.warning("stopping immediately", signal=int(number))
                    self.immediate_stop_requested.set()
                else:
                    logger.info("received stop signal", signal=int(number))
                    self.stop_requested.set()
