"""Claims the one run of a non-idempotent request, and settles the claim."""

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

# Answers up to this size are kept for a repeat of the request.
LARGEST_KEPT_ANSWER = 64 * 1024
REPEAT_PAUSE_MS = 50.0
SETTLE_TIMEOUT_MS = 10_000.0

_STATES = {
    messages.Outcome.ANSWERED: control_pb2.CLAIM_ANSWERED,
    messages.Outcome.NOT_RUN: control_pb2.CLAIM_RELEASED,
    messages.Outcome.UNKNOWN: control_pb2.CLAIM_UNKNOWN,
}

logger = loguru.logger


class Claims:
    """Makes sure that a request with a key runs at most once."""

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
    ) -> messages.Ended:
        """Runs a request where no other has, and else tells how it ended."""
        token = secrets.token_hex(16)
        while True:
            claimed = await self._claim(req, token)
            if not isinstance(claimed, result.Success):
                # The claim may be committed yet, so it has to be let go.
                self._tasks.start_soon(self._abandon, req, token)
                return messages.Ended(
                    messages.Outcome.NOT_RUN, error=claimed.failure()
                )
            done = claimed.unwrap()
            if done.claim_granted:
                ended = await attempt(req, frozenset())
                await self._settle(req, token, ended)
                return ended
            if done.claim != control_pb2.CLAIM_RUNNING:
                return _repeat(req, done)
            # The first one still runs: wait for it within the deadline.
            left = req.deadline - self._clock.now()
            if left <= 0 or done.fingerprint_differs:
                return _repeat(req, done)
            await anyio.sleep(clock.seconds(min(left, REPEAT_PAUSE_MS)))

    async def _claim(
        self, req: messages.Request, token: str
    ) -> result.Result[control_pb2.CommandResult, errors.Error]:
        command = control_pb2.Command(
            claim=control_pb2.Claim(
                session=self._session.id,
                token=token,
                service=req.service,
                key=req.key,
                fingerprint=req.fingerprint,
            )
        )
        left = req.deadline - self._clock.now()
        done = await self._control.propose([command], max(left, 0))
        return done.map(lambda results: results[0])

    async def _settle(
        self, req: messages.Request, token: str, ended: messages.Ended
    ) -> None:
        """Has the end of a request written down.

        Waits for it only within the deadline: the caller gets its answer
        either way, and the rest is done in the background.
        """
        settle = control_pb2.Settle(
            session=self._session.id,
            token=token,
            service=req.service,
            key=req.key,
            state=_STATES[ended.outcome],
        )
        _keep_answer(settle, ended.answer)
        written = anyio.Event()
        self._tasks.start_soon(self._write, settle, written)
        left = max(0.0, req.deadline - self._clock.now())
        with anyio.move_on_after(clock.seconds(left)):
            await written.wait()

    async def _write(
        self, settle: control_pb2.Settle, written: anyio.Event
    ) -> None:
        command = control_pb2.Command(settle=settle)
        done = await self._control.propose([command], SETTLE_TIMEOUT_MS)
        if not isinstance(done, result.Success):
            logger.error(
                "the end of a request is not written down",
                service=settle.service,
                key=settle.key,
                reason=str(done.failure()),
            )
        written.set()

    async def _abandon(self, req: messages.Request, token: str) -> None:
        """Lets go of a claim that may or may not have been committed."""
        claim = control_pb2.Command(
            claim=control_pb2.Claim(
                session=self._session.id,
                token=token,
                service=req.service,
                key=req.key,
                fingerprint=req.fingerprint,
            )
        )
        settle = control_pb2.Command(
            settle=control_pb2.Settle(
                session=self._session.id,
                token=token,
                service=req.service,
                key=req.key,
                state=control_pb2.CLAIM_RELEASED,
            )
        )
        # Claimed again first: a claim that arrived after its release would
        # block the key.
        await self._control.propose([claim, settle], SETTLE_TIMEOUT_MS)


def _keep_answer(
    settle: control_pb2.Settle, answer: messages.Answer | None
) -> None:
    if answer is None:
        return
    if len(answer.body) > LARGEST_KEPT_ANSWER:
        settle.answer_too_large = True
        return
    settle.answer.status = answer.status
    settle.answer.body = answer.body
    for name, value in answer.headers:
        settle.answer.headers.add(name=name, value=value)


def _repeat(
    req: messages.Request, done: control_pb2.CommandResult
) -> messages.Ended:
    """Returns what a repeat is told of the first request."""
    if done.fingerprint_differs:
        return messages.Ended(
            messages.Outcome.NOT_RUN,
            error=errors.RequestError(
                f"the key {req.key} came with another request before",
                "use a new key for a new request",
                422,
            ),
        )
    if done.status == control_pb2.STATUS_SESSION_EXPIRED:
        return messages.not_run(
            "this entry lost its session", "send it to another entry"
        )
    if done.claim == control_pb2.CLAIM_RELEASED:
        return messages.not_run("it was let go", "send it again")
    if done.claim == control_pb2.CLAIM_ANSWERED and not done.answer_dropped:
        answer = messages.Answer(
            done.answer.status,
            [(h.name, h.value) for h in done.answer.headers],
            done.answer.body,
        )
        return messages.Ended(messages.Outcome.ANSWERED, answer=answer)
    return messages.Ended(
        messages.Outcome.UNKNOWN,
        error=errors.UnavailableError(
            _describe(req, done),
            "look at the service itself, then have an operator `resolve` it",
        ),
    )


def _describe(req: messages.Request, done: control_pb2.CommandResult) -> str:
    if done.claim == control_pb2.CLAIM_ANSWERED:
        return f"{req.key} was answered; the answer is no longer kept"
    if done.claim == control_pb2.CLAIM_RUNNING:
        return f"{req.key} still runs"
    return f"{req.key} may have run; its answer was lost"
