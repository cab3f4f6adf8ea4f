"""The targets that this entry owns, and the dispatch to them."""

import dataclasses
import functools
import random
import typing

import anyio
import anyio.abc
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.backend_servers import client as client_lib
from cardamomkeel.control import client as control_client
from cardamomkeel.control import signal
from cardamomkeel.policy import budget
from cardamomkeel.policy import choose
from cardamomkeel.policy import hedging
from cardamomkeel.policy import slots as slots_lib
from cardamomkeel.policy import waiting
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib
from cardamomkeel.settings import services
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
        leaving: Whether it is being handed over.
    """

    record: control_pb2.TargetRecord
    candidate: choose.Candidate
    seen_at: clock.Millis
    leaving: bool = False


@dataclasses.dataclass(frozen=True)
class _Guard:
    """Checks the lease right before the first byte of a request.

    A connection may have taken long to open: the lease may be over, and the
    target counts the allowed time from the first byte on.
    """

    session: session_lib.Session
    clk: clock.Clock
    work: slots_lib.Work
    allowed_ms: clock.Millis
    on_stream_end: typing.Callable[[client_lib.SendFailure | None], None]

    def may_send(self) -> bool:
        """Tells whether this entry still owns the target."""
        if not self.session.is_fresh():
            return False
        self.work.is_sent = True
        bound_ms = slots_lib.bound_work(self.allowed_ms)
        self.work.until = self.clk.now() + bound_ms
        return True

    def note_over(self) -> None:
        """Notes that the target has seen the end of the connection."""
        self.work.is_over = True

    def note_stream_end(self, failure: client_lib.SendFailure | None) -> None:
        """Notes that the last byte came, or can't come any more."""
        self.on_stream_end(failure)


@dataclasses.dataclass(frozen=True)
class _Grant:
    """A slot that was taken for a request."""

    owned: Owned
    work: slots_lib.Work


@dataclasses.dataclass(eq=False)
class _Waiter:
    """A request that has no slot yet."""

    req: messages.Request
    excluded: frozenset[str]
    grant: _Grant | None = None
    granted: anyio.Event = dataclasses.field(default_factory=anyio.Event)


_LOST = messages.not_run("the lease ran out", "send it to another entry")


@dataclasses.dataclass(eq=False)
class _Race:
    """The attempts at one request, of which the first answer counts.

    Attributes:
        running: How many attempts run.
        ended: How the request ended.
        done: Set once it has ended.
        scopes: Cancel the attempts.
        is_over: Whether no attempt is wanted any more.
    """

    running: int = 1
    ended: messages.Ended | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    scopes: list[anyio.CancelScope] = dataclasses.field(default_factory=list)
    is_over: bool = False
    _failed: messages.Ended | None = None

    def win(self, ended: messages.Ended) -> None:
        """Takes the answer of an attempt."""
        self.running -= 1
        if self.ended is not None or self.is_over:
            ended.discard()
            return
        self._fail(None)
        self.ended = ended
        self.done.set()

    def lose(self, ended: messages.Ended | None) -> None:
        """Takes the failure of an attempt; None for a cancelled one."""
        self.running -= 1
        # What may have run counts more than what certainly did not.
        if self._failed is None or (
            ended is not None and ended.outcome is not messages.Outcome.NOT_RUN
        ):
            self._fail(ended)
        if self.ended is not None or self.is_over:
            self._fail(None)
        elif self.running == 0:
            self.ended = self._failed or _LOST
            self.done.set()

    def _fail(self, ended: messages.Ended | None) -> None:
        """Remembers a failure in place of an earlier one."""
        if self._failed is not None:
            self._failed.discard()
        self._failed = ended


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
        self._ends_changed = signal.Signal()
        self._hedges: dict[str, hedging.Hedging] = {}
        self._tasks: anyio.abc.TaskGroup | None = None
        self._queues: dict[str, waiting.Queue[_Waiter]] = {}
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
        self._ends_changed.notify()
        self._serve_all()

    def _follow_target(
        self, address: str, target: control_pb2.TargetRecord
    ) -> None:
        owned = self.owned.get(address)
        if owned is None or owned.record.epoch != target.epoch:
            owned = self._make_owned(target)
            self.owned[address] = owned
        slots = owned.candidate.slots
        slots.announced_cold = target.state == "cold"
        if owned.record.instance != target.instance or slots.announced_cold:
            slots.make_cold()
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
        slots.warm_up_requests = service.warm_up_requests
        slots.resize(
            min(owned.record.slots or service.slots, service.slots),
            service.cold_slots,
        )

    async def run(self) -> None:
        """Hands targets over, and serves the queues as work ends."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._run_releases)
            tasks.start_soon(self._run_ends)

    async def _run_ends(self) -> None:
        """Serves the queues where slots come free without an answer."""
        while True:
            now = self._clock.now()
            ends = [
                owned.candidate.next_change(now)
                for owned in self.owned.values()
            ]
            left = min(ends, default=float("inf")) - now
            timeout_s = None if left == float("inf") else clock.seconds(left)
            await self._ends_changed.wait(timeout_s)
            self._serve_all()

    async def _run_releases(self) -> None:
        while True:
            if not self._to_release:
                await self._has_release.wait()
            batch, self._to_release = self._to_release, []
            await self._finish(batch)
            await self._release(batch)

    async def _finish(self, batch: list[Owned]) -> None:
        """Waits for a moment until the work on some targets has ended."""
        until = self._clock.now() + HAND_OVER_MS
        while any(owned.candidate.slots.work for owned in batch):
            left = until - self._clock.now()
            if left <= 0:
                return
            await self._freed.wait(clock.seconds(left))

    async def _release(self, batch: list[Owned]) -> None:
        now = self._clock.now()
        released = []
        for owned in batch:
            count, longest_ms = owned.candidate.slots.remaining(now)
            residual_ms = int(longest_ms * slots_lib.DRIFT) + 1
            released.append(
                control_pb2.Released(
                    address=owned.record.address,
                    epoch=owned.record.epoch,
                    residual_slots=count,
                    residual_ms=residual_ms,
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

    def get_service(self, name: str) -> services.Service | None:
        """Returns what operators say of a service, or None."""
        return self._session.view.get_service(name)

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

    def _queue(self, name: str) -> waiting.Queue[_Waiter]:
        service = self._session.view.get_service(name)
        queue = self._queues.setdefault(name, waiting.Queue(0))
        queue.limit = 0 if service is None else service.queue
        return queue

    def _allowed_ms(self, req: messages.Request) -> clock.Millis:
        """Returns how long a request may run from now on."""
        left = req.deadline - self._clock.now()
        service = self._session.view.get_service(req.service)
        if service is None:
            return left
        return min(left, service.longest_deadline_ms)

    async def dispatch(
        self, req: messages.Request, excluded: frozenset[str]
    ) -> messages.Ended:
        """Gives a request to one of the owned targets.

        Args:
            req: The request.
            excluded: Addresses that already failed this request.
        """
        queue = self._queue(req.service)
        waiter = _Waiter(req, excluded)
        if self._session.view.get_service(req.service) is not None:
            self._grant(waiter, queue)
        if waiter.grant is None:
            refused = self._refuse(req, queue)
            if refused is not None:
                return refused
            await self._wait(waiter, queue)
        grant = waiter.grant
        # Nothing is awaited between this check and the send: a process that
        # was frozen finds its lease over.
        if grant is not None and self._session.is_fresh():
            return await self._send_hedged(grant, req)
        if grant is not None:
            grant.owned.candidate.slots.give_back(grant.work)
        return messages.not_run(
            f"no slot for {req.service} before the deadline",
            "send it again, or allow a later deadline",
            messages.Sign.FULL,
        )

    def _refuse(
        self, req: messages.Request, queue: waiting.Queue[_Waiter]
    ) -> messages.Ended | None:
        """Refuses what could only wait in vain."""
        if queue.is_full():
            return messages.not_run(
                f"the queue of {req.service} is full",
                "send it again later",
                messages.Sign.FULL,
            )
        candidates = [owned.candidate for owned in self._usable(req.service)]
        if not any(c.slots.may_free(req.deadline) for c in candidates):
            return messages.not_run(
                f"no slot of {req.service} comes free here in time",
                "send it again later, or to another entry",
                messages.Sign.FULL,
            )
        slots = sum(candidate.slots.limit for candidate in candidates)
        now = self._clock.now()
        recent = [c.health.recent_latency(now) for c in candidates]
        latency_ms = min(filter(None, recent), default=0.0)
        before = queue.count_before(req.deadline)
        wait_ms = waiting.estimate_wait(before, slots, latency_ms)
        left = req.deadline - self._clock.now()
        if wait_ms + latency_ms <= left:
            return None
        return messages.not_run(
            f"{req.service} has a wait of {wait_ms:.0f} ms and answers in "
            f"{latency_ms:.0f} ms; {max(left, 0):.0f} ms are left",
            "send it again, or allow a later deadline",
            messages.Sign.FULL,
        )

    def _grant(self, waiter: _Waiter, queue: waiting.Queue[_Waiter]) -> None:
        """Takes a slot for a request where one is free."""
        if not self._session.is_fresh():
            return
        req = waiter.req
        chosen = self._choose(req.service, waiter.excluded)
        if chosen is None:
            return
        now = self._clock.now()
        allowed_ms = self._allowed_ms(req)
        # What can't be answered in time would only take a slot.
        if allowed_ms < chosen.candidate.health.recent_latency(now):
            return
        work = chosen.candidate.slots.take(now, allowed_ms)
        waiter.grant = _Grant(chosen, work)
        queue.remove(waiter)
        waiter.granted.set()

    def _serve(self, service: str) -> None:
        """Gives free slots to those that wait, and wakes only these."""
        queue = self._queues.get(service)
        if queue is None:
            return
        for waiter in queue.items():
            if not any(self._free(service)):
                return
            self._grant(waiter, queue)

    def _serve_all(self) -> None:
        for service in self._queues:
            self._serve(service)

    def _free(self, service: str):
        now = self._clock.now()
        return (o for o in self._usable(service) if o.candidate.free(now))

    async def _wait(
        self, waiter: _Waiter, queue: waiting.Queue[_Waiter]
    ) -> None:
        """Waits for a slot until the deadline."""
        req = waiter.req
        queue.add(waiter, req.deadline)
        try:
            while waiter.grant is None and self._may_wait(req):
                until = min(req.deadline, self._session.lease_until)
                pause_ms = until - self._clock.now()
                with anyio.move_on_after(clock.seconds(max(0.0, pause_ms))):
                    await waiter.granted.wait()
                    return
        except BaseException:
            if waiter.grant is not None:
                slots = waiter.grant.owned.candidate.slots
                slots.give_back(waiter.grant.work)
                self._serve(req.service)
            raise
        finally:
            queue.remove(waiter)

    def _may_wait(self, req: messages.Request) -> bool:
        return (
            self._session.is_fresh()
            and self.owns(req.service)
            and self._clock.now() < req.deadline
        )

    def _hedging(self, name: str) -> hedging.Hedging:
        service = self._session.view.get_service(name)
        share = 0.0 if service is None else service.hedge_share
        known = self._hedges.get(name)
        if known is None:
            known = hedging.Hedging(budget.ShareBudget(share))
            self._hedges[name] = known
        known.budget.share = share
        return known

    async def _send_hedged(
        self, grant: _Grant, req: messages.Request
    ) -> messages.Ended:
        """Sends a request, and once more where the answer is late."""
        hedges = self._hedging(req.service)
        delay_ms = hedges.delay_ms()
        may_hedge = req.idempotent and req.depth == 0
        if not may_hedge or delay_ms is None or self._tasks is None:
            return await self._send(grant, req)
        hedges.budget.earn()
        race = _Race()
        self._tasks.start_soon(self._run_in_race, race, grant, req)
        try:
            with anyio.move_on_after(clock.seconds(delay_ms)):
                await race.done.wait()
            second = None if race.ended else self._take_hedge(grant, req)
            if second is not None:
                race.running += 1
                self._tasks.start_soon(self._run_in_race, race, second, req)
            await race.done.wait()
        except BaseException:
            if race.ended is not None:
                race.ended.discard()
            raise
        finally:
            race.is_over = True
            for scope in race.scopes:
                scope.cancel()
        return race.ended

    def _take_hedge(
        self, first: _Grant, req: messages.Request
    ) -> _Grant | None:
        """Takes a slot for a second attempt, if one is to spare."""
        if len(self._queue(req.service)) or not self._session.is_fresh():
            return None
        excluded = frozenset([first.owned.record.address])
        chosen = self._choose(req.service, excluded)
        if chosen is None or self._allowed_ms(req) <= 0:
            return None
        if not self._hedging(req.service).budget.take():
            return None
        self._metrics.count(
            "hedges",
            "Requests sent a second time for a late answer.",
            service=req.service,
        )
        work = chosen.candidate.slots.take(
            self._clock.now(), self._allowed_ms(req)
        )
        return _Grant(chosen, work)

    async def _run_in_race(
        self, race: _Race, grant: _Grant, req: messages.Request
    ) -> None:
        """Makes one attempt; a failure counts only if no other one runs."""
        if race.is_over or not self._session.is_fresh():
            grant.owned.candidate.slots.give_back(grant.work)
            race.lose(_LOST)
            return
        ended = None
        with anyio.CancelScope() as scope:
            race.scopes.append(scope)
            try:
                ended = await self._send(grant, req)
            except Exception:
                logger.exception("an attempt failed")
                ended = messages.FAILED
        if ended is not None and ended.sign is messages.Sign.SUCCESS:
            race.win(ended)
        else:
            race.lose(ended)

    async def _send(
        self, grant: _Grant, req: messages.Request
    ) -> messages.Ended:
        owned, work = grant.owned, grant.work
        slots = owned.candidate.slots
        started = self._clock.now()
        allowed_ms = self._allowed_ms(req)
        sent = None
        try:
            sent = await self._http.send(
                owned.record.address,
                req,
                self._headers(req, allowed_ms),
                started + allowed_ms,
                _Guard(
                    self._session,
                    self._clock,
                    work,
                    allowed_ms,
                    functools.partial(self._end_stream, owned, work),
                ),
            )
        finally:
            self._end(slots, work, sent)
        ended = classify(sent, owned.record)
        self._learn(owned, ended, work)
        self._freed.notify()
        if owned.candidate.health.is_failing():
            self._ends_changed.notify()
        self._serve(owned.record.service)
        return ended

    def _end(
        self,
        slots: slots_lib.Slots,
        work: slots_lib.Work,
        sent: result.Result[messages.Answer, client_lib.SendFailure] | None,
    ) -> None:
        """Frees the slot of a request once it has ended for certain."""
        if not isinstance(sent, result.Success):
            kind = None if sent is None else sent.failure().kind
            self._end_failed(slots, work, kind)
        elif sent.unwrap().stream is None:
            slots.give_back(work)

    def _end_stream(
        self,
        owned: Owned,
        work: slots_lib.Work,
        failure: client_lib.SendFailure | None,
    ) -> None:
        """Frees the slot of a streamed answer."""
        slots = owned.candidate.slots
        if failure is None:
            slots.give_back(work)
        else:
            self._end_failed(slots, work, failure.kind)
            if failure.kind is not client_lib.FailureKind.GIVEN_UP:
                cut = classify(result.Failure(failure), owned.record)
                self._learn(owned, cut, work)
        self._freed.notify()
        self._serve(owned.record.service)

    def _end_failed(
        self,
        slots: slots_lib.Slots,
        work: slots_lib.Work,
        kind: client_lib.FailureKind | None,
    ) -> None:
        """Frees a slot once work without a whole answer has ended."""
        if work.is_over:
            slots.give_back(work)
            return
        self._ends_changed.notify()
        if kind is client_lib.FailureKind.NOT_SENT or not work.is_sent:
            slots.give_back(work)
        elif kind is client_lib.FailureKind.BROKEN:
            slots.hold(work, self._clock.now() + slots_lib.TRANSIT_MS)
        else:
            # The other side may not notice that the connection was closed.
            slots.hold(work, work.until)

    def _headers(
        self, req: messages.Request, allowed_ms: clock.Millis
    ) -> messages.Headers:
        return [
            *req.headers,
            (messages.DEADLINE, b"%d" % max(1, int(allowed_ms))),
            (messages.DEPTH, b"%d" % (req.depth + 1)),
        ]

    def _learn(
        self, owned: Owned, ended: messages.Ended, work: slots_lib.Work
    ) -> None:
        now = self._clock.now()
        latency_ms = now - work.started
        timed_out = ended.sign is messages.Sign.TIMED_OUT
        if timed_out and not owned.candidate.health.shows_timeout(latency_ms):
            return
        succeeded = ended.sign is messages.Sign.SUCCESS
        owned.candidate.health.note(latency_ms, not succeeded, now)
        if succeeded:
            self._hedging(owned.record.service).note(latency_ms)
            owned.candidate.slots.note_success(work)
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
        if answer.stream is not None:
            answer.stream.close()
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
