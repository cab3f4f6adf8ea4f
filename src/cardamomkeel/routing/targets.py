"""The targets that this entry owns, with their slots and health."""

import dataclasses
import enum
import random

import loguru

from cardamomkeel import clock
from cardamomkeel.control import signal
from cardamomkeel.policy import least_cost
from cardamomkeel.policy import slots as slots_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import run_time as run_time_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.wire import control_pb2

logger = loguru.logger


class ColdStartReason(enum.Enum):
    """Why a target was reset to the cold-start limit, as shown to operators."""

    TAKEN_OVER = "its owner is new and knows nothing of it"
    RESTARTED = "it came back as another instance"
    ANNOUNCED = "it announced that it is cold"
    ANSWERED = "it said in an answer that it is cold"
    ENDED = "it ended its last unused connection"
    SHED = "it shed a request"
    REFUSED = "it refused a connection"
    BROKEN = "it broke the connection of a request"
    TIMED_OUT = "a request to it timed out"
    FAILED = "a request to it failed"


@dataclasses.dataclass
class OwnedTarget:
    """A target that this entry owns.

    Attributes:
        record: The replicated record of the target.
        candidate: The slots and health of the target.
        seen_at: When the target last announced itself or became owned.
        is_handing_over: Whether the target is being handed over.
        cold_start_reason: Why the last cold start began.
        cold_start_at: When the last cold start began.
    """

    record: control_pb2.TargetRecord
    candidate: least_cost.Candidate
    seen_at: clock.Millis
    is_handing_over: bool = False
    cold_start_reason: ColdStartReason = ColdStartReason.TAKEN_OVER
    cold_start_at: clock.Millis = 0.0

    def begin_cold_start(
        self, reason: ColdStartReason, now: clock.Millis
    ) -> None:
        """Resets the limit of the target to its cold-start limit."""
        slots = self.candidate.slots
        old_limit = slots.limit
        slots.reset_to_cold_start()
        self.cold_start_reason, self.cold_start_at = reason, now
        if slots.limit < old_limit:
            logger.info(
                "target reset to cold start",
                target=self.record.address,
                service=self.record.service,
                why=reason.value,
            )


@dataclasses.dataclass(frozen=True)
class Grant:
    """A slot that was acquired for a request."""

    owned: OwnedTarget
    work: slots_lib.Work

    def release(self) -> None:
        """Releases the slot."""
        self.owned.candidate.slots.release(self.work)


class Targets:
    """Tracks the owned targets and chooses among them.

    Attributes:
        owned: The owned targets, by address.
        slot_freed: Notified when work has ended.
        expiries_changed: Notified when a slot may expire without an answer.
    """

    def __init__(
        self,
        session: session_lib.Session,
        clk: clock.Clock,
        rng: random.Random,
        run_time: run_time_lib.RunTimeLimiter,
    ):
        self._session = session
        self._clock = clk
        self._rng = rng
        self._run_time = run_time
        self.owned: dict[str, OwnedTarget] = {}
        self._usable: dict[str, list[OwnedTarget]] = {}
        self.slot_freed = signal.Signal()
        self.expiries_changed = signal.Signal()

    def apply_view(self) -> list[OwnedTarget]:
        """Updates the owned targets from the view.

        Returns:
            The targets for which a handover has to begin.
        """
        view = self._session.view
        owned_records = {
            address: target
            for address, target in view.targets.items()
            if target.owner == self._session.id and self._session.id
        }
        for removed in set(self.owned) - set(owned_records):
            del self.owned[removed]
        handing_over = [
            owned
            for address, target in owned_records.items()
            if (owned := self._apply_record(address, target)) is not None
        ]
        self._index_usable()
        return handing_over

    def _index_usable(self) -> None:
        """Groups the targets that accept new work by service."""
        view = self._session.view
        self._usable = {}
        for owned in self.owned.values():
            if not owned.is_handing_over and not view.refuses_new_work(
                owned.record
            ):
                service = owned.record.service
                self._usable.setdefault(service, []).append(owned)

    def _apply_record(
        self, address: str, target: control_pb2.TargetRecord
    ) -> OwnedTarget | None:
        """Applies a record; returns the target if its handover has to begin."""
        owned = self.owned.get(address)
        if owned is None or owned.record.epoch != target.epoch:
            owned = self._make_owned(target)
            self.owned[address] = owned
        slots = owned.candidate.slots
        slots.announced_cold = target.state == "cold"
        if owned.record.instance != target.instance:
            owned.begin_cold_start(ColdStartReason.RESTARTED, self._clock.now())
        elif slots.announced_cold:
            owned.begin_cold_start(ColdStartReason.ANNOUNCED, self._clock.now())
        owned.record = target
        self._apply_limits(owned)
        if not target.next_owner or owned.is_handing_over:
            return None
        owned.is_handing_over = True
        return owned

    def _make_owned(self, target: control_pb2.TargetRecord) -> OwnedTarget:
        now = self._clock.now()
        slots = slots_lib.Slots(slots=target.slots)
        slots.inherit(target.residual_slots, now + target.residual_ms)
        candidate = least_cost.Candidate(
            target.address, slots, least_cost.Health()
        )
        owned = OwnedTarget(target, candidate, seen_at=now)
        self._apply_limits(owned)
        owned.begin_cold_start(ColdStartReason.TAKEN_OVER, now)
        return owned

    def _apply_limits(self, owned: OwnedTarget) -> None:
        service = self._session.view.get_service(owned.record.service)
        if service is None:
            return
        slots = owned.candidate.slots
        slots.warm_up_requests = service.warm_up_requests
        slots.resize(
            min(owned.record.slots or service.slots, service.slots),
            service.cold_slots,
        )

    def begin_cold_start(self, address: str) -> None:
        """Resets an owned target to its cold-start limit."""
        owned = self.owned.get(address)
        if owned is not None:
            owned.begin_cold_start(ColdStartReason.ENDED, self._clock.now())

    def get_usable(self, service: str) -> list[OwnedTarget]:
        """Returns the owned targets of a service that accept new work."""
        return self._usable.get(service, [])

    def has_usable(self, service: str) -> bool:
        """Returns whether this entry owns a usable target of a service."""
        return bool(self.get_usable(service))

    def has_free_slot(self, service: str) -> bool:
        """Returns whether a usable target of a service has a free slot."""
        now = self._clock.now()
        return any(o.candidate.free(now) for o in self.get_usable(service))

    def choose(
        self, service: str, excluded: frozenset[str]
    ) -> OwnedTarget | None:
        """Returns the best target with a free slot, or None."""
        candidates = [owned.candidate for owned in self.get_usable(service)]
        chosen = least_cost.select(
            candidates, excluded, self._clock.now(), self._rng
        )
        return None if chosen is None else self.owned[chosen.address]

    def acquire(self, owned: OwnedTarget, allowed_ms: clock.Millis) -> Grant:
        """Acquires a slot of a target for a request."""
        now = self._clock.now()
        return Grant(owned, owned.candidate.slots.acquire(now, allowed_ms))

    def allowed_ms(self, req: messages.Request) -> clock.Millis:
        """Returns how long a request may run from now on."""
        return min(
            self.requested_ms(req), self._run_time.max_run_ms(req.service)
        )

    def requested_ms(self, req: messages.Request) -> clock.Millis:
        """Returns how long the deadline and the settings let a request run."""
        remaining_ms = req.deadline - self._clock.now()
        service = self._session.view.get_service(req.service)
        if service is None:
            return remaining_ms
        return min(remaining_ms, service.longest_deadline_ms)

    def next_expiry(self, since: clock.Millis) -> clock.Millis:
        """Returns when the next held slot expires, or infinity.

        Args:
            since: Expiries up to this time are ignored.
        """
        ends = [o.candidate.next_change(since) for o in self.owned.values()]
        return min(ends, default=float("inf"))
