"""Sends a request to one target and classifies the result."""

import asyncio
import dataclasses
import enum
import functools

from returns import result

from cardamomkeel import clock
from cardamomkeel import http_headers
from cardamomkeel.backend_servers import pool_connection
from cardamomkeel.gateway import hang_watch
from cardamomkeel.gateway import last_byte_delay
from cardamomkeel.gateway import messages
from cardamomkeel.gateway import names as names_lib
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.gateway import target_signals
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.gateway import upstream as upstream_lib
from cardamomkeel.gateway import upstream_connection
from cardamomkeel.policy import hang
from cardamomkeel.policy import unanswered as unanswered_lib
from cardamomkeel.policy import work_time
from cardamomkeel.rollouts import entry as rollouts_lib
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routing import messages as routing_messages

# A request with less remaining time is not sent.
MIN_REMAINING_MS = 2.0
# A connection that does not open within this share of the objective leaves time
# for another target.
CONNECT_OBJECTIVE_SHARE = 0.4
# Statuses that promise a caller that its request has not run.
NOT_RUN_STATUSES = frozenset([408, 421, 429, 503])
# The status of a target that may name a time in which it wants no requests.
PUSHED_BACK = 503
# The status of a target that is not the instance the request is meant for.
MISDIRECTED = 421


class SendResult(enum.Enum):
    """The result of an attempt."""

    ANSWERED = "answered"
    # Nothing was sent.
    NOT_SENT = "not sent"
    # The target reported that it did not run the request.
    NOT_RUN = "not run"
    # The request may have run.
    BROKEN = "broken"
    # The request may have run, but the target does not work on it.
    HUNG = "hung"
    LATE = "late"


@dataclasses.dataclass(frozen=True, slots=True)
class Attempt:
    """A finished attempt to have a target run a request.

    Attributes:
        result: Whether the request was answered, or may have run.
        reason: The cause, for the log and the caller.
        response: The answer of the target if the result is ANSWERED.
    """

    result: SendResult
    reason: str = ""
    response: messages.Response | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request of a caller as it is sent to targets.

    Attributes:
        req: The request of the caller.
        request_id: The id that targets return with their answers.
        route: The route that matches it.
        deadline: When the deadline of the caller or the timeout of the route
            passes, whichever is earlier, on the local clock.
        account: The name of its client account; empty for none.
    """

    req: messages.Request
    request_id: bytes
    route: document_lib.Route
    deadline: clock.Millis
    account: bytes = b""

    @property
    def idempotent(self) -> bool:
        """Whether the request may run more than once."""
        return self.route.idempotent


@dataclasses.dataclass(frozen=True, slots=True)
class _SendSnapshot:
    """The state of a target when a request was sent to it.

    Attributes:
        sent_at: When the request was sent, on the local clock.
        slowdown: The work time that the target reported, as a multiple of the
            usual one.
        crowded: Whether the target was nearly full.
    """

    sent_at: clock.Millis
    slowdown: float
    crowded: bool


class Sender:
    """Sends requests to targets and records the results at the targets."""

    def __init__(
        self,
        upstream: upstream_lib.UpstreamPool,
        targets: targets_lib.Targets,
        signals: target_signals.TargetSignals,
        delay: last_byte_delay.LastByteDelay,
        hangs: hang_watch.HangWatch,
        names: names_lib.HeaderNames,
        clk: clock.Clock,
        rollouts: rollouts_lib.EntryRollouts | None = None,
    ):
        self._rollouts = rollouts
        self._upstream = upstream
        self._targets = targets
        self._signals = signals
        self._last_byte_delay = delay
        self._hangs = hangs
        self._clock = clk
        self._id = names.request_id.encode()
        self._deadline = names.deadline.encode()
        self._instance = names.instance.encode()
        self._account = names.account.encode()
        self._seal = names.seal.lower().encode()
        self._load = names.load.lower().encode()
        self._not_run = names.not_run.lower().encode()
        self._replaced_headers = frozenset(
            [
                b"content-length",
                b"expect",
                # The entry writes these headers itself, even if a caller lists
                # them as headers of its connection.
                self._id.lower(),
                self._deadline.lower(),
                self._instance.lower(),
            ]
        )
        self._hidden_headers = frozenset(
            [b"content-length", self._load, names.leaving.lower().encode()]
        )

    async def send(
        self,
        outgoing: OutgoingRequest,
        target: target_lib.Target,
        is_resend: bool,
    ) -> Attempt:
        """Sends a request and classifies the result.

        Cancelling closes the connection, which stops the work at the target.

        Args:
            outgoing: The request.
            target: The target.
            is_resend: Whether the request was sent to another target before.
        """
        self._targets.record_start(target)
        try:
            return await self._send(outgoing, target, is_resend)
        finally:
            self._targets.record_end(target)

    def start(
        self,
        outgoing: OutgoingRequest,
        target: target_lib.Target,
        is_resend: bool,
    ) -> asyncio.Task[Attempt]:
        """Starts a task that sends a request, as `send` does.

        The request is counted at its target at once, so selections before the
        event loop runs the task include it.
        """
        self._targets.record_start(target)
        task = asyncio.ensure_future(self._send(outgoing, target, is_resend))
        task.add_done_callback(lambda _: self._targets.record_end(target))
        return task

    async def _send(
        self,
        outgoing: OutgoingRequest,
        target: target_lib.Target,
        is_resend: bool,
    ) -> Attempt:
        """Sends a request, and counts its result if a roll-out runs."""
        watch = None
        if self._rollouts is not None:
            watch = self._rollouts.watch(target, outgoing.route)
        if watch is None:
            return await self._send_unwatched(outgoing, target, is_resend)
        try:
            attempt = await self._send_unwatched(outgoing, target, is_resend)
            if attempt.result not in (SendResult.NOT_SENT, SendResult.NOT_RUN):
                watch.end(_is_failure(attempt))
            return attempt
        finally:
            watch.drop()

    async def _send_unwatched(
        self,
        outgoing: OutgoingRequest,
        target: target_lib.Target,
        is_resend: bool,
    ) -> Attempt:
        conn = self._upstream.try_acquire(
            target.address, is_resend or not outgoing.idempotent
        )
        if conn is None:
            opened = await self._upstream.open(
                target.address, self._connect_limit_ms(outgoing)
            )
            if not isinstance(opened, result.Success):
                self._note_unreachable(target)
                return Attempt(SendResult.NOT_SENT, opened.failure().message)
            conn = opened.unwrap()
            if target.was_down():
                self._targets.suspect_cold_start(target, self._clock.now())
        now = self._clock.now()
        if not self._targets.is_current(target):
            self._upstream.release(conn)
            return Attempt(
                SendResult.NOT_SENT,
                "it left or pushed back while a connection was opened",
            )
        remaining_ms = outgoing.deadline - now
        if remaining_ms < MIN_REMAINING_MS:
            self._upstream.release(conn)
            return Attempt(SendResult.NOT_SENT, "no time is left")
        head = self._encode(outgoing, target, int(remaining_ms))
        if head is None:
            self._upstream.release(conn)
            return Attempt(SendResult.NOT_SENT, "it can't be passed on safely")
        conn.expect(outgoing.request_id)
        conn.on_leaving = functools.partial(self._signals.note_leaving, target)
        unanswered = self._watch(outgoing, target)
        try:
            async with asyncio.timeout(clock.seconds(remaining_ms)):
                answer = await self._write(conn, target, outgoing, head)
                now = self._clock.now()
                slowdown = target.reported_slowdown(now)
                crowded = self._targets.is_crowded(target)
                got = await self._hangs.wait(
                    answer,
                    target,
                    self._check_after_ms(outgoing, target),
                    lambda: conn.received_at >= now,
                )
        except TimeoutError:
            conn.close()
            work = self._get_work(target, outgoing)
            target.note_late(work, remaining_ms, self._clock.now())
            return Attempt(SendResult.LATE, "no answer in time")
        except hang_watch.HungError as exc:
            conn.close()
            return Attempt(SendResult.HUNG, str(exc))
        except pool_connection.ProtocolError as exc:
            target.note_failure(self._clock.now())
            return Attempt(SendResult.BROKEN, str(exc))
        except asyncio.CancelledError:
            conn.close()
            raise
        finally:
            unanswered.cancel()
        self._upstream.release(conn)
        return self._handle_answer(
            target,
            self._get_work(target, outgoing),
            got,
            _SendSnapshot(now, slowdown, crowded),
        )

    def _watch(
        self, outgoing: OutgoingRequest, target: target_lib.Target
    ) -> asyncio.TimerHandle:
        """Starts the timer after which a request counts as unanswered."""
        work = self._get_work(target, outgoing)
        limit_ms = unanswered_lib.limit_ms(
            work.expect_ms(), outgoing.route.objective_ms
        )
        return asyncio.get_running_loop().call_later(
            clock.seconds(limit_ms),
            self._targets.record_unanswered,
            *(target, work, limit_ms),
        )

    def _check_after_ms(
        self, outgoing: OutgoingRequest, target: target_lib.Target
    ) -> clock.Millis:
        """Returns when the target is asked whether it works on a request."""
        return hang.check_after_ms(
            self._get_work(target, outgoing).expect_ms(),
            outgoing.route.objective_ms,
            outgoing.idempotent,
        )

    def _get_work(
        self, target: target_lib.Target, outgoing: OutgoingRequest
    ) -> work_time.WorkTime:
        return self._targets.get_work(target.record.service, outgoing.route)

    def _connect_limit_ms(self, outgoing: OutgoingRequest) -> clock.Millis:
        """Returns how long opening a connection may take."""
        return min(
            outgoing.route.objective_ms * CONNECT_OBJECTIVE_SHARE,
            outgoing.deadline - self._clock.now(),
        )

    async def _write(
        self,
        conn: upstream_connection.TargetConnection,
        target: target_lib.Target,
        outgoing: OutgoingRequest,
        head: bytes,
    ) -> asyncio.Future[routing_messages.Answer]:
        """Writes a request, the last byte of a long one after a delay."""
        body = outgoing.req.body
        if not self._last_byte_delay.applies_to(target, len(body)):
            return conn.request(head, body, outgoing.req.method == "HEAD")
        answer = conn.begin_request(head, body)
        delay = asyncio.ensure_future(
            self._last_byte_delay.wait(target, len(body))
        )
        try:
            # A target may answer before it has received the last byte.
            await asyncio.wait(
                [delay, answer], return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            answer.cancel()
            raise
        finally:
            delay.cancel()
        conn.finish_request()
        return answer

    async def refuses_connections(self, target: target_lib.Target) -> bool:
        """Returns whether the address of a target refuses connections."""
        opened = await self._upstream.open(
            target.address, upstream_lib.CONNECT_TIMEOUT_MS
        )
        if isinstance(opened, result.Success):
            self._upstream.release(opened.unwrap())
            return False
        return opened.failure().refused

    def _note_unreachable(self, target: target_lib.Target) -> None:
        now = self._clock.now()
        target.note_down(now)
        target.note_failure(now)
        self._upstream.close_unused(target.address)

    def _encode(
        self,
        outgoing: OutgoingRequest,
        target: target_lib.Target,
        remaining_ms: int,
    ) -> bytes | None:
        req = outgoing.req
        if not http_headers.is_safe_path(req.target):
            return None
        lines = [f"{req.method} {req.target} HTTP/1.1\r\n".encode()]
        for name, value in http_headers.keep_end_to_end(
            req.headers, self._replaced_headers
        ):
            if not http_headers.is_safe_header(name, value):
                return None
            lines.append(b"%s: %s\r\n" % (name, value))
        if not http_headers.is_safe_header(self._id, outgoing.request_id):
            return None
        lines.append(b"%s: %s\r\n" % (self._id, outgoing.request_id))
        if outgoing.account:
            lines.append(b"%s: %s\r\n" % (self._account, outgoing.account))
        lines.append(b"%s: %d\r\n" % (self._deadline, remaining_ms))
        instance = target.record.instance.encode()
        lines.append(b"%s: %s\r\n" % (self._instance, instance))
        if req.body or req.method not in ("GET", "HEAD"):
            lines.append(b"Content-Length: %d\r\n" % len(req.body))
        lines.append(b"\r\n")
        return b"".join(lines)

    def _handle_answer(
        self,
        target: target_lib.Target,
        work: work_time.WorkTime,
        got: routing_messages.Answer,
        snapshot: _SendSnapshot,
    ) -> Attempt:
        """Records what an answer shows of its target; returns the attempt."""
        now = self._clock.now()
        found = {name.lower(): value for name, value in got.headers}
        self._targets.record_load(target, found.get(self._load))
        status = got.status
        if status == PUSHED_BACK:
            self._signals.note_refusal(target, got.headers)
        if self._not_run in found or status == MISDIRECTED:
            if status == MISDIRECTED:
                # Another instance listens at the address now.
                target.note_down(now)
            target.note_failure(now)
            return Attempt(SendResult.NOT_RUN, f"the target said {status}")
        is_success = 200 <= status < 300
        if is_success and (
            not found.get(self._seal) or b"content-encoding" in found
        ):
            target.note_failure(now)
            return Attempt(
                SendResult.BROKEN, "the answer is not the target's own"
            )
        if status in NOT_RUN_STATUSES:
            # The caller would read the status as a promise that the request
            # has not run, which the target did not make.
            target.note_failure(now)
            return Attempt(SendResult.BROKEN, f"{status} without a promise")
        if status >= 500:
            target.note_failure(now)
        else:
            target.note_return(snapshot.sent_at)
            target.note_answer(
                work,
                now - snapshot.sent_at,
                snapshot.slowdown,
                snapshot.crowded,
                now,
            )
        headers = http_headers.keep_end_to_end(
            got.headers, self._hidden_headers
        )
        response = messages.Response(status, headers, got.body)
        return Attempt(SendResult.ANSWERED, f"status {status}", response)


def _is_failure(attempt: Attempt) -> bool:
    """Returns whether a target that had a request failed it."""
    if attempt.result is not SendResult.ANSWERED:
        return True
    return attempt.response.status >= 500
