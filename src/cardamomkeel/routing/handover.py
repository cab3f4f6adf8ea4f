"""Hands targets over to the entries that own them next."""

import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel.control import client as control_client
from cardamomkeel.control import signal
from cardamomkeel.policy import slots as slots_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import targets as targets_lib
from cardamomkeel.wire import control_pb2

# How long a target that is handed over may finish its work first.
DRAIN_TIMEOUT_MS = 300.0
COMMIT_TIMEOUT_MS = 2000.0

logger = loguru.logger


class Handover:
    """Lets targets finish for a moment, then releases them."""

    def __init__(
        self,
        session: session_lib.Session,
        control: control_client.ControlClient,
        clk: clock.Clock,
        slot_freed: signal.Signal,
    ):
        self._session = session
        self._control = control
        self._clock = clk
        self._slot_freed = slot_freed
        self._waiting: list[targets_lib.OwnedTarget] = []
        self._targets_added = signal.Signal()

    def add(self, handing_over: list[targets_lib.OwnedTarget]) -> None:
        """Takes targets that are to be released."""
        if handing_over:
            self._waiting.extend(handing_over)
            self._targets_added.notify()

    async def run(self) -> None:
        """Releases what is to be released."""
        while True:
            if not self._waiting:
                await self._targets_added.wait()
            batch, self._waiting = self._waiting, []
            await self._drain(batch)
            await self._release(batch)

    async def _drain(self, batch: list[targets_lib.OwnedTarget]) -> None:
        """Waits for a moment until the work on some targets has ended."""
        until = self._clock.now() + DRAIN_TIMEOUT_MS
        while any(owned.candidate.slots.work for owned in batch):
            remaining_ms = until - self._clock.now()
            if remaining_ms <= 0:
                return
            await self._slot_freed.wait(clock.seconds(remaining_ms))

    async def _release(self, batch: list[targets_lib.OwnedTarget]) -> None:
        now = self._clock.now()
        command = control_pb2.Command(
            release_targets=control_pb2.ReleaseTargets(
                session=self._session.id,
                released=[_make_released(owned, now) for owned in batch],
            )
        )
        done = await self._control.propose([command], COMMIT_TIMEOUT_MS)
        if not isinstance(done, result.Success):
            logger.warning("can't hand over", reason=str(done.failure()))
            self._waiting.extend(batch)


def _make_released(
    owned: targets_lib.OwnedTarget, now: clock.Millis
) -> control_pb2.Released:
    count, longest_ms = owned.candidate.slots.remaining(now)
    return control_pb2.Released(
        address=owned.record.address,
        epoch=owned.record.epoch,
        residual_slots=count,
        residual_ms=int(longest_ms * slots_lib.DRIFT) + 1,
    )
