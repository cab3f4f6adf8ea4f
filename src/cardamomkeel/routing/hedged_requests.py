"""Hedging: sends a request a second time if its answer is late."""

import asyncio
import dataclasses

import anyio
import loguru

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.policy import budget
from cardamomkeel.policy import hedging
from cardamomkeel.routing import attempts as attempts_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import queueing
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import targets as targets_lib

logger = loguru.logger

_LEASE_EXPIRED = messages.not_run(
    "the lease ran out", "send it to another entry"
)


@dataclasses.dataclass(eq=False)
class _HedgedRequest:
    """The attempts at one request; the first success is its result.

    Attributes:
        done: Receives the result of the request.
        running: The number of running attempts.
        started_tasks: The tasks of the attempts that have started.
        is_cancelled: Whether remaining attempts are cancelled.
    """

    done: asyncio.Future[messages.RequestResult]
    running: int = 0
    started_tasks: list[asyncio.Task] = dataclasses.field(default_factory=list)
    is_cancelled: bool = False
    _failure: messages.RequestResult | None = None

    def record_success(self, req_result: messages.RequestResult) -> None:
        """Records a successful attempt; later ones are discarded."""
        self.running -= 1
        if self.done.done() or self.is_cancelled:
            req_result.discard()
            return
        self._set_failure(None)
        self.done.set_result(req_result)

    def record_failure(self, req_result: messages.RequestResult | None) -> None:
        """Records a failed attempt, or None for a cancelled one."""
        self.running -= 1
        # A result of an attempt that may have run takes precedence.
        if self._failure is None or (
            req_result is not None
            and req_result.outcome is not messages.Outcome.NOT_RUN
        ):
            self._set_failure(req_result)
        if self.done.done() or self.is_cancelled:
            self._set_failure(None)
        elif self.running == 0:
            self.done.set_result(self._failure or _LEASE_EXPIRED)

    def cancel_attempts(self) -> None:
        """Cancels started attempts and keeps others from starting."""
        self.is_cancelled = True
        for task in self.started_tasks:
            task.cancel()

    def discard(self) -> None:
        """Discards the result if no caller waits for it."""
        if self.done.done() and not self.done.cancelled():
            self.done.result().discard()

    def _set_failure(self, req_result: messages.RequestResult | None) -> None:
        """Stores a failure and discards an earlier one."""
        if self._failure is not None:
            self._failure.discard()
        self._failure = req_result


class HedgedRequests:
    """Sends requests, with a second attempt if the answer is late."""

    def __init__(
        self,
        session: session_lib.Session,
        targets: targets_lib.Targets,
        queues: queueing.Queues,
        attempts: attempts_lib.Attempts,
        clk: clock.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._session = session
        self._targets = targets
        self._queues = queues
        self._attempts = attempts
        self._clock = clk
        self._metrics = metrics
        self._hedging_by_service: dict[str, hedging.Hedging] = {}
        # Attempts run as plain asyncio tasks, with one timer, since a task
        # group, scopes and events would add considerably to the cost of a
        # request.
        self._running: set[asyncio.Task] = set()

    async def run(self) -> None:
        """Cancels running attempts when it is cancelled."""
        try:
            await anyio.sleep_forever()
        finally:
            for task in self._running:
                task.cancel()

    def record_latency(self, service: str, latency_ms: clock.Millis) -> None:
        """Records the latency of an answer for the hedging delay."""
        self._get_hedging(service).record(latency_ms)

    def _get_hedging(self, name: str) -> hedging.Hedging:
        service = self._session.view.get_service(name)
        share = 0.0 if service is None else service.hedge_share
        known = self._hedging_by_service.get(name)
        if known is None:
            known = hedging.Hedging(budget.ShareBudget(share))
            self._hedging_by_service[name] = known
        known.budget.share = share
        return known

    async def send(
        self, grant: targets_lib.Grant, req: messages.Request
    ) -> messages.RequestResult:
        """Sends a request, and a second time if the answer is late."""
        hedges = self._get_hedging(req.service)
        delay_ms = hedges.delay_ms()
        may_hedge = req.idempotent and req.depth == 0
        if not may_hedge or delay_ms is None:
            return await self._attempts.send(grant, req)
        hedges.budget.record_request()
        loop = asyncio.get_running_loop()
        hedged = _HedgedRequest(loop.create_future())
        self._start_attempt(hedged, grant, req)
        timer = loop.call_later(
            clock.seconds(delay_ms), self._start_hedge, hedged, grant, req
        )
        try:
            return await hedged.done
        except BaseException:
            hedged.discard()
            raise
        finally:
            timer.cancel()
            hedged.cancel_attempts()

    def _start_attempt(
        self,
        hedged: _HedgedRequest,
        grant: targets_lib.Grant,
        req: messages.Request,
    ) -> None:
        hedged.running += 1
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._run_attempt(hedged, grant, req))
        self._running.add(task)
        task.add_done_callback(self._running.discard)

    def _start_hedge(
        self,
        hedged: _HedgedRequest,
        first: targets_lib.Grant,
        req: messages.Request,
    ) -> None:
        second = (
            None
            if hedged.done.done()
            else self._try_acquire_hedge_slot(first, req)
        )
        if second is not None:
            self._start_attempt(hedged, second, req)

    def _try_acquire_hedge_slot(
        self, first: targets_lib.Grant, req: messages.Request
    ) -> targets_lib.Grant | None:
        """Acquires a slot for a second attempt if no request needs it."""
        if (
            self._queues.has_waiting(req.service)
            or not self._session.is_fresh()
        ):
            return None
        excluded = frozenset([first.owned.record.address])
        chosen = self._targets.choose(req.service, excluded)
        if chosen is None or self._targets.allowed_ms(req) <= 0:
            return None
        if not self._get_hedging(req.service).budget.try_acquire():
            return None
        self._metrics.count(
            "hedges",
            "Requests sent a second time for a late answer.",
            service=req.service,
        )
        return self._targets.acquire(chosen, self._targets.allowed_ms(req))

    async def _run_attempt(
        self,
        hedged: _HedgedRequest,
        grant: targets_lib.Grant,
        req: messages.Request,
    ) -> None:
        """Makes one attempt and records its result."""
        if hedged.is_cancelled or not self._session.is_fresh():
            grant.release()
            hedged.record_failure(_LEASE_EXPIRED)
            return
        hedged.started_tasks.append(asyncio.current_task())
        req_result = None
        try:
            req_result = await self._attempts.send(grant, req)
        except asyncio.CancelledError:
            pass
        except Exception:
            logger.exception("attempt failed")
            req_result = messages.INTERNAL_FAILURE
        if req_result is not None and req_result.sign is messages.Sign.SUCCESS:
            hedged.record_success(req_result)
        else:
            hedged.record_failure(req_result)
