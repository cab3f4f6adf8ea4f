"""Hands targets over to their next owners."""

import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel.control import client as control_client
from cardamomkeel.control import signal
from cardamomkeel.policy import slots as slots_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import targets as targets_lib
from cardamomkeel.wire import control_pb2

# How long to wait for running requests before a target is released.
DRAIN_TIMEOUT_MS = 300.0
# How long the commit of a release may take.
COMMIT_TIMEOUT_MS = 2000.0

logger = loguru.logger


class Handover:
    """Drains targets for a short time, then releases them to new owners."""

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
        self._pending: list[targets_lib.OwnedTarget] = []
        self._targets_added = signal.Signal()

    def add(self, targets: list[targets_lib.OwnedTarget]) -> None:
        """Queues targets for release."""
        if targets:
            self._pending.extend(targets)
            self._targets_added.notify()

    async def run(self) -> None:
        """Drains and releases queued targets until it is cancelled."""
        while True:
            if not self._pending:
                await self._targets_added.wait()
            batch, self._pending = self._pending, []
            await self._drain(batch)
            await self._release(batch)

    async def _drain(self, batch: list[targets_lib.OwnedTarget]) -> None:
        """Waits up to DRAIN_TIMEOUT_MS until the targets have no work."""
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
        proposed = await self._control.propose([command], COMMIT_TIMEOUT_MS)
        if not isinstance(proposed, result.Success):
            logger.warning(
                "failed to hand over targets", reason=str(proposed.failure())
            )
            self._pending.extend(batch)


def _make_released(
    owned: targets_lib.OwnedTarget, now: clock.Millis
) -> control_pb2.Released:
    count, longest_ms = owned.candidate.slots.remaining(now)
    return control_pb2.Released(
        address=owned.record.address,
        epoch=owned.record.epoch,
        residual_slots=count,
        residual_ms=int(longest_ms * slots_lib.CLOCK_DRIFT_FACTOR) + 1,
    )
