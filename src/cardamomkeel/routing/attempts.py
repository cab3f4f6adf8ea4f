"""Sends requests to targets and records the results."""

import collections.abc
import dataclasses
import functools

from returns import result

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.backend_servers import client as client_lib
from cardamomkeel.policy import slots as slots_lib
from cardamomkeel.routing import classify
from cardamomkeel.routing import messages
from cardamomkeel.routing import run_time as run_time_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import targets as targets_lib


@dataclasses.dataclass(frozen=True)
class _SendGuard:
    """Checks the lease right before the first byte of a request is sent.

    The lease may have expired while a connection was opened, and the target
    counts the allowed time from the first byte on.
    """

    session: session_lib.Session
    run_time: run_time_lib.RunTimeLimiter
    clk: clock.Clock
    service: str
    work: slots_lib.Work
    allowed_ms: clock.Millis
    finish_stream: collections.abc.Callable[
        [client_lib.SendFailure | None], None
    ]

    def may_send(self) -> bool:
        """Returns whether the lease still allows the request to start."""
        if not self.session.is_fresh():
            return False
        until = self.clk.now() + slots_lib.work_bound_ms(self.allowed_ms)
        if not self.run_time.try_start(self.service, until):
            return False
        self.work.is_sent = True
        self.work.until = until
        return True

    def note_cancelled(self) -> None:
        """Records that the target has seen the end of the connection."""
        self.work.is_over = True

    def note_stream_end(self, failure: client_lib.SendFailure | None) -> None:
        """Records that the last byte has arrived or can't arrive."""
        self.finish_stream(failure)


class Attempts:
    """Sends requests to targets and updates the health of the targets.

    Attributes:
        on_success: Called with the service and the latency of each success.
        on_slot_freed: Called with the service when a slot may be free.
    """

    def __init__(
        self,
        session: session_lib.Session,
        targets: targets_lib.Targets,
        http: client_lib.Client,
        clk: clock.Clock,
        metrics: metrics_lib.Metrics,
        run_time: run_time_lib.RunTimeLimiter,
    ):
        self._run_time = run_time
        self._session = session
        self._targets = targets
        self._http = http
        self._clock = clk
        self._metrics = metrics
        self.on_success: collections.abc.Callable[[str, clock.Millis], None]
        self.on_slot_freed: collections.abc.Callable[[str], None]

    async def send(
        self, grant: targets_lib.Grant, req: messages.Request
    ) -> messages.RequestResult:
        """Sends a request, releases its slot and returns the result."""
        owned, work = grant.owned, grant.work
        started = self._clock.now()
        allowed_ms = self._targets.allowed_ms(req)
        guard = _SendGuard(
            self._session,
            self._run_time,
            self._clock,
            req.service,
            work,
            allowed_ms,
            functools.partial(self._finish_stream, owned, work),
        )
        sent = None
        try:
            sent = await self._http.send(
                owned.record.address,
                req,
                _make_headers(req, allowed_ms),
                started + allowed_ms,
                guard,
            )
        finally:
            self._release_slot(owned.candidate.slots, work, sent)
        req_result = classify.classify(sent, owned.record)
        self._record_result(owned, req_result, work)
        self._targets.slot_freed.notify()
        if owned.candidate.health.is_failing():
            self._targets.expiries_changed.notify()
        self.on_slot_freed(owned.record.service)
        return req_result

    def _release_slot(
        self,
        slots: slots_lib.Slots,
        work: slots_lib.Work,
        sent: result.Result[messages.Answer, client_lib.SendFailure] | None,
    ) -> None:
        """Releases the slot, unless the answer is still streamed."""
        if not isinstance(sent, result.Success):
            kind = None if sent is None else sent.failure().kind
            self._release_after_failure(slots, work, kind)
        elif sent.unwrap().stream is None:
            slots.release(work)

    def _finish_stream(
        self,
        owned: targets_lib.OwnedTarget,
        work: slots_lib.Work,
        failure: client_lib.SendFailure | None,
    ) -> None:
        """Releases the slot of a streamed answer."""
        slots = owned.candidate.slots
        if failure is None:
            slots.release(work)
        else:
            self._release_after_failure(slots, work, failure.kind)
            if failure.kind is not client_lib.FailureKind.GIVEN_UP:
                truncated = classify.classify(
                    result.Failure(failure), owned.record
                )
                self._record_result(owned, truncated, work)
        self._targets.slot_freed.notify()
        self.on_slot_freed(owned.record.service)

    def _release_after_failure(
        self,
        slots: slots_lib.Slots,
        work: slots_lib.Work,
        kind: client_lib.FailureKind | None,
    ) -> None:
        """Releases the slot of a failed request when the work has ended.

        The slot is held while the target may still run the request.
        """
        if work.is_over:
            slots.release(work)
            return
        self._targets.expiries_changed.notify()
        if kind is client_lib.FailureKind.NOT_SENT or not work.is_sent:
            slots.release(work)
        elif kind is client_lib.FailureKind.BROKEN:
            slots.hold_until(work, self._clock.now() + slots_lib.TRANSIT_MS)
        else:
            # The target may not notice that the connection was closed.
            slots.hold_until(work, work.until)

    def _record_result(
        self,
        owned: targets_lib.OwnedTarget,
        req_result: messages.RequestResult,
        work: slots_lib.Work,
    ) -> None:
        """Updates health, limit and metrics of a target."""
        now = self._clock.now()
        latency_ms = now - work.started
        timed_out = req_result.sign is messages.Sign.TIMED_OUT
        if timed_out and not owned.candidate.health.is_timeout_significant(
            latency_ms
        ):
            return
        succeeded = req_result.sign is messages.Sign.SUCCESS
        owned.candidate.health.record_result(latency_ms, not succeeded, now)
        if succeeded:
            self.on_success(owned.record.service, latency_ms)
        if req_result.answer is not None:
            owned.candidate.health.record_answer(now)
        if _reports_cold(req_result.answer):
            owned.begin_cold_start(targets_lib.ColdStartReason.ANSWERED, now)
        elif succeeded:
            owned.candidate.slots.record_success(work)
        elif req_result.sign is not messages.Sign.SERVER_ERROR:
            reason = _COLD_START_REASONS.get(
                req_result.sign, targets_lib.ColdStartReason.FAILED
            )
            owned.begin_cold_start(reason, now)
        self._metrics.count(
            "attempts",
            "Requests given to targets, by what they showed.",
            service=owned.record.service,
            sign=req_result.sign.value,
        )


# Other failures count as ColdStartReason.FAILED.
_COLD_START_REASONS = {
    messages.Sign.SHED: targets_lib.ColdStartReason.SHED,
    messages.Sign.REFUSED: targets_lib.ColdStartReason.REFUSED,
    messages.Sign.BROKEN: targets_lib.ColdStartReason.BROKEN,
    messages.Sign.TIMED_OUT: targets_lib.ColdStartReason.TIMED_OUT,
}


def _reports_cold(answer: messages.Answer | None) -> bool:
    """Returns whether an answer reports that its target is cold."""
    return answer is not None and answer.header(messages.STATE) == messages.COLD


def _make_headers(
    req: messages.Request, allowed_ms: clock.Millis
) -> messages.Headers:
    return [
        *req.headers,
        (messages.DEADLINE, b"%d" % max(1, int(allowed_ms))),
        (messages.DEPTH, b"%d" % (req.depth + 1)),
    ]
