"""The targets that this entry owns, and the dispatch to them."""

import dataclasses
import random

import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.backend_servers import client as client_lib
from cardamomkeel.control import client as control_client
from cardamomkeel.control import signal
from cardamomkeel.policy import choose
from cardamomkeel.policy import slots as slots_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib
from cardamomkeel.wire import control_pb2

# How long a target that is handed over may finish its work first.
HAND_OVER_MS = 300.0
COMMIT_TIMEOUT_MS = 2000.0

logger = loguru.logger


@dataclasses.dataclass
class Owned:
    """One target that this entry owns.

    Attributes:
        record: What the control group says of it.
        candidate: Its slots and health.
        seen_at: When it last announced itself, or became owned.
        deadlines: The deadlines of the requests in flight.
        leaving: Whether it is being handed over.
    """

    record: control_pb2.TargetRecord
    candidate: choose.Candidate
    seen_at: clock.Millis
    deadlines: list[clock.Millis] = dataclasses.field(default_factory=list)
    leaving: bool = False


class Owner:
    """Gives work to the targets that this entry owns, and to no others.

    Attributes:
        owned: The targets, by address.
    """

    def __init__(
        self,
        session: session_lib.Session,
        http: client_lib.Client,
        control: control_client.ControlClient,
        clk: clock.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        self._session = session
        self._http = http
        self._control = control
        self._clock = clk
        self._rng = rng
        self._metrics = metrics
        self._freed = signal.Signal()
        self._waiting: dict[str, int] = {}
        self._to_release: list[Owned] = []
        self._has_release = signal.Signal()
        self.owned: dict[str, Owned] = {}

    # Ownership.

    def follow(self) -> None:
        """Takes over what the view says this entry owns."""
        view = self._session.view
        mine = {
            address: target
            for address, target in view.targets.items()
            if target.owner == self._session.id and self._session.id
        }
        for gone in set(self.owned) - set(mine):
            del self.owned[gone]
        for address, target in mine.items():
            self._follow_target(address, target)
        self._freed.notify()

    def _follow_target(
        self, address: str, target: control_pb2.TargetRecord
    ) -> None:
        owned = self.owned.get(address)
        if owned is None or owned.record.epoch != target.epoch:
            owned = self._make_owned(target)
            self.owned[address] = owned
        if owned.record.instance != target.instance or target.state == "cold":
            owned.candidate.slots.make_cold()
        owned.record = target
        self._apply_limits(owned)
        if target.next_owner and not owned.leaving:
            owned.leaving = True
            self._to_release.append(owned)
            self._has_release.notify()

    def _make_owned(self, target: control_pb2.TargetRecord) -> Owned:
        now = self._clock.now()
        slots = slots_lib.Slots(slots=target.slots)
        slots.inherit(target.residual_slots, now + target.residual_ms)
        candidate = choose.Candidate(target.address, slots, choose.Health())
        owned = Owned(target, candidate, seen_at=now)
        self._apply_limits(owned)
        slots.make_cold()
        return owned

    def _apply_limits(self, owned: Owned) -> None:
        service = self._session.view.get_service(owned.record.service)
        if service is None:
            return
        slots = owned.candidate.slots
        slots.slots = min(owned.record.slots or service.slots, service.slots)
        slots.cold_slots = service.cold_slots
        slots.limit = min(slots.limit, slots.slots)

    async def run(self) -> None:
        """Hands targets over as the control group asks for them."""
        while True:
            if not self._to_release:
                await self._has_release.wait()
            batch, self._to_release = self._to_release, []
            await self._finish(batch)
            await self._release(batch)

    async def _finish(self, batch: list[Owned]) -> None:
        """Waits for a moment until the work on some targets has ended."""
        until = self._clock.now() + HAND_OVER_MS
        while any(owned.deadlines for owned in batch):
            left = until - self._clock.now()
            if left <= 0:
                return
            await self._freed.wait(clock.seconds(left))

    async def _release(self, batch: list[Owned]) -> None:
        now = self._clock.now()
        released = []
        for owned in batch:
            residual = owned.candidate.slots.residual(now)
            latest = max([now, *owned.deadlines])
            if residual:
                latest = max(latest, owned.candidate.slots.residual_until())
            released.append(
                control_pb2.Released(
                    address=owned.record.address,
                    epoch=owned.record.epoch,
                    residual_slots=len(owned.deadlines) + residual,
                    residual_ms=int(latest - now) + 1,
                )
            )
        command = control_pb2.Command(
            release_targets=control_pb2.ReleaseTargets(
                session=self._session.id, released=released
            )
        )
        done = await self._control.propose([command], COMMIT_TIMEOUT_MS)
        if not isinstance(done, result.Success):
            logger.warning("can't hand over", reason=str(done.failure()))
            self._to_release.extend(batch)

    # Dispatch.

    def owns(self, service: str) -> bool:
        """Tells whether this entry owns a usable target of a service."""
        return any(True for _ in self._usable(service))

    def _usable(self, service: str):
        view = self._session.view
        for owned in self.owned.values():
            if owned.record.service != service or owned.leaving:
                continue
            if not view.is_out(owned.record):
                yield owned

    def _choose(self, service: str, excluded: frozenset[str]) -> Owned | None:
        candidates = [owned.candidate for owned in self._usable(service)]
        chosen = choose.choose(
            candidates, excluded, self._clock.now(), self._rng
        )
        return None if chosen is None else self.owned[chosen.address]

    async def dispatch(
        self, req: messages.Request, excluded: frozenset[str]
    ) -> messages.Ended:
        """Gives a request to one of the owned targets.

        Args:
            req: The request.
            excluded: Addresses that already failed this request.
        """
        service = self._session.view.get_service(req.service)
        limit = 0 if service is None else service.queue
        if self._waiting.get(req.service, 0) >= limit:
            return messages.not_run(
                f"the queue of {req.service} is full",
                "send it again later",
                messages.Sign.FULL,
            )
        self._waiting[req.service] = self._waiting.get(req.service, 0) + 1
        try:
            owned = await self._wait_for_slot(req, excluded)
        finally:
            self._waiting[req.service] -= 1
        # Nothing is awaited between this check and the send: a process that
        # was frozen finds its lease over.
        if owned is None or not self._session.is_fresh():
            return messages.not_run(
                f"no slot for {req.service} before the deadline",
                "send it again, or allow a later deadline",
                messages.Sign.FULL,
            )
        return await self._send(owned, req)

    async def _wait_for_slot(
        self, req: messages.Request, excluded: frozenset[str]
    ) -> Owned | None:
        while self._session.is_fresh() and self.owns(req.service):
            owned = self._choose(req.service, excluded)
            if owned is not None:
                return owned
            left = req.deadline - self._clock.now()
            if left <= 0:
                return None
            await self._freed.wait(clock.seconds(left))
        return None

    async def _send(
        self, owned: Owned, req: messages.Request
    ) -> messages.Ended:
        slots = owned.candidate.slots
        started = self._clock.now()
        slots.take()
        owned.deadlines.append(req.deadline)
        try:
            sent = await self._http.send(
                owned.record.address,
                req,
                self._headers(req, started),
                req.deadline,
            )
        finally:
            slots.give_back()
            owned.deadlines.remove(req.deadline)
            self._freed.notify()
        ended = classify(sent, owned.record)
        self._learn(owned, ended, self._clock.now() - started)
        return ended

    def _headers(
        self, req: messages.Request, now: clock.Millis
    ) -> messages.Headers:
        left = max(1, int(req.deadline - now))
        return [
            *req.headers,
            (messages.DEADLINE, b"%d" % left),
            (messages.DEPTH, b"%d" % (req.depth + 1)),
        ]

    def _learn(
        self, owned: Owned, ended: messages.Ended, latency_ms: clock.Millis
    ) -> None:
        succeeded = ended.sign is messages.Sign.SUCCESS
        owned.candidate.health.note(latency_ms, failed=not succeeded)
        if succeeded:
            owned.candidate.slots.note_success()
        elif ended.sign is not messages.Sign.SERVER_ERROR:
            owned.candidate.slots.make_cold()
        self._metrics.count(
            "attempts",
            "Requests given to targets, by what they showed.",
            service=owned.record.service,
            sign=ended.sign.value,
        )


_SIGNS = {
    client_lib.FailureKind.NOT_SENT: messages.Sign.REFUSED,
    client_lib.FailureKind.BROKEN: messages.Sign.BROKEN,
    client_lib.FailureKind.TIMED_OUT: messages.Sign.TIMED_OUT,
}


def classify(
    sent: result.Result[messages.Answer, client_lib.SendFailure],
    target: control_pb2.TargetRecord,
) -> messages.Ended:
    """Returns what an attempt at a backend server means."""
    if isinstance(sent, result.Success):
        return _classify_answer(sent.unwrap(), target)
    failure = sent.failure()
    sign = _SIGNS[failure.kind]
    if failure.kind is client_lib.FailureKind.NOT_SENT:
        return messages.not_run(
            f"{target.address} can't be reached: {failure.message}",
            "send it again",
            sign,
            target.address,
        )
    ended = messages.not_run(
        f"{target.address} did not answer: {failure.message}",
        "find out whether it ran before sending it again",
        sign,
        target.address,
    )
    return dataclasses.replace(
        ended,
        outcome=messages.Outcome.UNKNOWN,
        instance=target.instance,
    )


def _classify_answer(
    answer: messages.Answer, target: control_pb2.TargetRecord
) -> messages.Ended:
    reason = answer.header(messages.NOT_RUN)
    if answer.status == 503 and reason:
        return messages.not_run(
            f"{target.address} did not run it: {reason.decode('latin-1')}",
            "send it again",
            messages.Sign.SHED,
            target.address,
        )
    sign = messages.Sign.SUCCESS
    if answer.status >= 500:
        sign = messages.Sign.SERVER_ERROR
    return messages.Ended(
        messages.Outcome.ANSWERED,
        answer=answer,
        sign=sign,
        target=target.address,
        instance=target.instance,
    )
