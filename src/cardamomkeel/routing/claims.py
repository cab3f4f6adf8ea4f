"""Claims that let a request that is not idempotent run at most once."""

import dataclasses
import secrets

import anyio
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import client as client_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib
from cardamomkeel.wire import control_pb2

# Answers up to this size are stored for repeats of the request.
MAX_STORED_ANSWER_BYTES = 64 * 1024
# Pause before the claim of a first run is read again; it doubles each time.
REPEAT_PAUSE_MS = 25.0
MAX_REPEAT_PAUSE_MS = 400.0
# How long the commit of an outcome or a release may take.
SETTLE_TIMEOUT_MS = 10_000.0

_STATES = {
    messages.Outcome.ANSWERED: control_pb2.CLAIM_ANSWERED,
    messages.Outcome.NOT_RUN: control_pb2.CLAIM_RELEASED,
    messages.Outcome.UNKNOWN: control_pb2.CLAIM_UNKNOWN,
}

logger = loguru.logger


@dataclasses.dataclass
class _Run:
    """A run of a request, which goes on if the caller disconnects."""

    req_result: messages.RequestResult = messages.INTERNAL_FAILURE
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)


class Claims:
    """Ensures that a request with an idempotency key runs at most once."""

    def __init__(
        self,
        session: session_lib.Session,
        control: client_lib.ControlClient,
        clk: clock.Clock,
        tasks: anyio.abc.TaskGroup,
    ):
        self._session = session
        self._control = control
        self._clock = clk
        self._tasks = tasks

    async def run_once(
        self, req: messages.Request, attempt: messages.Attempt
    ) -> messages.RequestResult:
        """Runs a request, or returns the result of its first run.

        The run goes on if the caller disconnects: its outcome is committed
        for a repeat of the request.
        """
        run = _Run()
        self._tasks.start_soon(self._execute, req, attempt, run)
        await run.done.wait()
        return run.req_result

    async def _execute(
        self, req: messages.Request, attempt: messages.Attempt, run: _Run
    ) -> None:
        try:
            run.req_result = await self._claim_and_run(req, attempt)
        except Exception:
            logger.exception("claimed request failed", key=req.key)
        finally:
            run.done.set()

    async def _claim_and_run(
        self, req: messages.Request, attempt: messages.Attempt
    ) -> messages.RequestResult:
        token = secrets.token_hex(16)
        pause_ms = REPEAT_PAUSE_MS
        while True:
            req = dataclasses.replace(req, session=self._session.id)
            claimed = await self._claim(req, token)
            if not isinstance(claimed, result.Success):
                # The claim may still be committed, so it has to be released.
                self._tasks.start_soon(self._release_claim, req, token)
                return messages.claim_failed(req, claimed.failure())
            claim_result = claimed.unwrap()
            if claim_result.claim_granted:
                return await self._run_claimed(req, token, attempt)
            if claim_result.status == control_pb2.STATUS_SESSION_EXPIRED:
                return await self._handle_expired_session(
                    req, token, claim_result
                )
            if claim_result.claim != control_pb2.CLAIM_RUNNING:
                return _make_repeat_result(req, claim_result)
            # The first run goes on: wait for it within the deadline.
            if claim_result.fingerprint_differs or not self._get_remaining_ms(
                req
            ):
                return _make_repeat_result(req, claim_result)
            await self._wait_for_first(req, pause_ms)
            pause_ms = min(2 * pause_ms, MAX_REPEAT_PAUSE_MS)

    def _get_remaining_ms(self, req: messages.Request) -> clock.Millis:
        return max(0.0, req.deadline - self._clock.now())

    async def _claim(
        self, req: messages.Request, token: str
    ) -> result.Result[control_pb2.CommandResult, errors.Error]:
        command = _make_claim(req, token)
        proposed = await self._control.propose(
            [command], self._get_remaining_ms(req)
        )
        return proposed.map(lambda results: results[0])

    async def _run_claimed(
        self, req: messages.Request, token: str, attempt: messages.Attempt
    ) -> messages.RequestResult:
        req_result = messages.INTERNAL_FAILURE
        try:
            req_result = await attempt(req, frozenset())
        except Exception:
            logger.exception("attempt failed", key=req.key)
        if req_result.stream is not None:
            # The outcome is known only at the end of the stream.
            self._tasks.start_soon(self._settle_stream, req, token, req_result)
        else:
            await self._settle(req, token, req_result)
        return req_result

    async def _settle_stream(
        self,
        req: messages.Request,
        token: str,
        req_result: messages.RequestResult,
    ) -> None:
        """Commits the outcome of a request at the end of its stream."""
        await req_result.stream.wait_end()
        if not req_result.stream.is_complete():
            req_result = dataclasses.replace(
                req_result, outcome=messages.Outcome.UNKNOWN, answer=None
            )
        await self._settle(req, token, req_result)

    async def _handle_expired_session(
        self,
        req: messages.Request,
        token: str,
        claim_result: control_pb2.CommandResult,
    ) -> messages.RequestResult:
        """Returns the result of a claim whose session has expired."""
        if claim_result.claim in (
            control_pb2.CLAIM_NONE,
            control_pb2.CLAIM_RELEASED,
        ):
            return messages.not_run(
                "this entry lost its session", "send it to another entry"
            )
        # The known claim may be an earlier copy of this one.
        if await self._release_claim(req, token):
            return messages.not_run(
                "this entry lost its session", "send it to another entry"
            )
        return _make_repeat_result(req, claim_result)

    async def _wait_for_first(
        self, req: messages.Request, pause_ms: clock.Millis
    ) -> None:
        """Waits for the end of the first run, up to the deadline.

        A read costs no log entry, whereas another claim would.
        """
        read = control_pb2.ReadRequest(
            key="-", service=req.service, claim_key=req.key
        )
        while self._get_remaining_ms(req):
            await anyio.sleep(
                clock.seconds(min(self._get_remaining_ms(req), pause_ms))
            )
            got = await self._control.read(
                read, max(1.0, self._get_remaining_ms(req))
            )
            if not isinstance(got, result.Success):
                return
            if got.unwrap().claim.state != control_pb2.CLAIM_RUNNING:
                return
            pause_ms = min(2 * pause_ms, MAX_REPEAT_PAUSE_MS)

    async def _settle(
        self,
        req: messages.Request,
        token: str,
        req_result: messages.RequestResult,
    ) -> None:
        """Commits the outcome of a request.

        Waits for the commit only until the deadline: after that the caller
        gets its answer and the commit goes on in the background.
        """
        settle = _make_settle(req, token, _STATES[req_result.outcome])
        _store_answer(settle, req_result.answer)
        finished = anyio.Event()
        self._tasks.start_soon(self._commit_outcome, settle, finished)
        with anyio.move_on_after(clock.seconds(self._get_remaining_ms(req))):
            await finished.wait()

    async def _commit_outcome(
        self, settle: control_pb2.Settle, finished: anyio.Event
    ) -> None:
        """Commits an outcome; sets the event at the end, also on a failure."""
        command = control_pb2.Command(settle=settle)
        proposed = await self._control.propose([command], SETTLE_TIMEOUT_MS)
        if not isinstance(proposed, result.Success):
            logger.error(
                "failed to commit outcome of request",
                service=settle.service,
                key=settle.key,
                reason=str(proposed.failure()),
            )
        finished.set()

    async def _release_claim(self, req: messages.Request, token: str) -> bool:
        """Releases a claim that may or may not have been committed.

        Returns:
            Whether the claim had this token and is released.
        """
        settle = control_pb2.Command(
            settle=_make_settle(req, token, control_pb2.CLAIM_RELEASED)
        )
        # Claims again first: a claim that is committed after its release would
        # block the key.
        commands = [_make_claim(req, token), settle]
        proposed = await self._control.propose(commands, SETTLE_TIMEOUT_MS)
        if not isinstance(proposed, result.Success):
            return False
        settled = proposed.unwrap()[1]
        return (
            settled.status == control_pb2.STATUS_OK
            and settled.claim == control_pb2.CLAIM_RELEASED
        )


def _make_claim(req: messages.Request, token: str) -> control_pb2.Command:
    return control_pb2.Command(
        claim=control_pb2.Claim(
            session=req.session,
            token=token,
            service=req.service,
            key=req.key,
            fingerprint=req.fingerprint,
        )
    )


def _make_settle(
    req: messages.Request, token: str, state: int
) -> control_pb2.Settle:
    return control_pb2.Settle(
        session=req.session,
        token=token,
        service=req.service,
        key=req.key,
        state=state,
    )


def _store_answer(
    settle: control_pb2.Settle, answer: messages.Answer | None
) -> None:
    if answer is None:
        return
    size = len(answer.body) + sum(len(n) + len(v) for n, v in answer.headers)
    if size > MAX_STORED_ANSWER_BYTES or answer.stream is not None:
        settle.answer_too_large = True
        return
    settle.answer.status = answer.status
    settle.answer.body = answer.body
    for name, value in answer.headers:
        settle.answer.headers.add(name=name, value=value)


def _make_repeat_result(
    req: messages.Request, claim_result: control_pb2.CommandResult
) -> messages.RequestResult:
    """Returns the result of a repeat, given the claim of the first request."""
    if claim_result.fingerprint_differs:
        return messages.RequestResult(
            messages.Outcome.NOT_RUN,
            error=errors.RequestError(
                f"the key {req.key} came with another request before",
                "use a new key for a new request",
                422,
            ),
        )
    if claim_result.claim == control_pb2.CLAIM_NONE:
        return messages.not_run(claim_result.message, "send it again later")
    if claim_result.claim == control_pb2.CLAIM_RELEASED:
        return messages.not_run("it was let go", "send it again")
    if (
        claim_result.claim == control_pb2.CLAIM_ANSWERED
        and claim_result.HasField("answer")
    ):
        answer = messages.Answer(
            claim_result.answer.status,
            [(h.name, h.value) for h in claim_result.answer.headers],
            claim_result.answer.body,
        )
        return messages.RequestResult(messages.Outcome.ANSWERED, answer=answer)
    return messages.RequestResult(
        messages.Outcome.UNKNOWN,
        error=errors.UnavailableError(
            _describe_unknown(req, claim_result),
            "look at the service itself, then have an operator `resolve` it",
        ),
    )


def _describe_unknown(
    req: messages.Request, claim_result: control_pb2.CommandResult
) -> str:
    if claim_result.claim == control_pb2.CLAIM_ANSWERED:
        return f"{req.key} ran to its end; its answer is no longer kept"
    if claim_result.claim == control_pb2.CLAIM_RUNNING:
        return f"{req.key} still runs"
    return f"{req.key} may have run; its answer was lost"
