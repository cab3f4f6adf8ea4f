"""Requests and how they ended, as entries pass them on."""

import collections.abc
import dataclasses
import enum
import typing

from cardamomkeel import clock
from cardamomkeel import errors

Headers = list[tuple[bytes, bytes]]

# Header names of the protocol towards callers and backend servers.
DEADLINE = b"cardamomkeel-deadline-ms"
DEPTH = b"cardamomkeel-depth"
OUTCOME = b"cardamomkeel-outcome"
TARGET = b"cardamomkeel-target"
EXCLUDE = b"cardamomkeel-exclude"
NOT_RUN = b"cardamomkeel-not-run"
INSTANCE = b"cardamomkeel-instance"
STATE = b"cardamomkeel-state"
COLD = b"cold"
IDEMPOTENCY_KEY = b"idempotency-key"
SIGN = b"cardamomkeel-sign"
# The session that claimed a forwarded request.
SESSION = b"cardamomkeel-session"
# A caller counts its sendings of one key from 1.
ATTEMPT = b"cardamomkeel-attempt"


class Outcome(enum.Enum):
    """What a caller is told of its request.

    ANSWERED: A backend server ran it and this is its answer.
    NOT_RUN: It certainly did not run; sending it again is safe.
    UNKNOWN: It may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Sign(enum.Enum):
    """What an attempt showed of the target, or entry, it was sent to."""

    NONE = "none"
    SUCCESS = "success"
    SERVER_ERROR = "server-error"
    SHED = "shed"
    REFUSED = "refused"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    FULL = "full"
    UNREACHABLE = "unreachable"


@dataclasses.dataclass(frozen=True)
class Request:
    """One request of a caller.

    Attributes:
        service: The service that it is for.
        method: The HTTP method.
        path: The path and query at the backend server.
        headers: The headers to pass on.
        body: The whole body.
        deadline: When the answer has to be there, on the local clock.
        depth: How many calls led to this one.
        idempotent: Whether it may run more than once.
        key: The idempotency key; empty for none.
        fingerprint: A hash of service, method, path and body.
        is_retry: Whether an attempt at it has failed before.
        is_first: Whether the caller says that it never sent the key before.
        session: The session that claimed the run; 0 for none.
    """

    service: str
    method: str
    path: str
    headers: Headers
    body: bytes
    deadline: clock.Millis
    depth: int = 0
    idempotent: bool = True
    key: str = ""
    fingerprint: bytes = b""
    is_retry: bool = False
    is_first: bool = False
    session: int = 0


class TruncatedBodyError(Exception):
    """A body ended before it was whole."""


class Stream(typing.Protocol):
    """A body that is passed on while it comes."""

    async def read(self) -> bytes:
        """Returns what has come, or nothing at the end of a whole body.

        Raises:
            CutError: The body is cut.
        """
        ...

    def is_complete(self) -> bool:
        """Tells whether the last byte has come."""
        ...

    def is_truncated(self) -> bool:
        """Tells whether the body certainly won't be whole."""
        ...

    def on_failure(self, call: collections.abc.Callable[[], None]) -> None:
        """Has a function called if the body won't be whole."""
        ...

    async def wait_end(self) -> None:
        """Waits until the last byte came, or can't come any more."""
        ...

    def close(self) -> None:
        """Ends reading; a body that is not whole by then is given up."""
        ...


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer of a backend server.

    Attributes:
        status: The HTTP status.
        headers: The headers as they came.
        body: The whole body; empty where it is a stream.
        stream: The body where it is too long to be held; None for others.
    """

    status: int
    headers: Headers
    body: bytes
    stream: Stream | None = None

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header, or nothing."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return b""


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """How a request, or one attempt at it, ended.

    Attributes:
        outcome: What can be said to the caller.
        answer: The answer, where there is one.
        error: Why there is none.
        sign: What the attempt showed of the target.
        target: Address of the target; empty where none was tried.
        instance: Its instance, as it announced itself.
        final: Whether another attempt can't end otherwise.
    """

    outcome: Outcome
    answer: Answer | None = None
    error: errors.Error | None = None
    sign: Sign = Sign.NONE
    target: str = ""
    instance: str = ""
    final: bool = False

    @property
    def stream(self) -> Stream | None:
        """The body of the answer where it is a stream."""
        return None if self.answer is None else self.answer.stream

    def discard(self) -> None:
        """Gives up an answer that nobody will read."""
        if self.stream is not None:
            self.stream.close()


Attempt = collections.abc.Callable[
    [Request, frozenset[str]], collections.abc.Awaitable[RequestResult]
]


def not_run(
    message: str, remedy: str, sign: Sign = Sign.NONE, target: str = ""
) -> RequestResult:
    """Returns the end of a request that certainly did not run."""
    return RequestResult(
        Outcome.NOT_RUN,
        error=errors.UnavailableError(message, remedy),
        sign=sign,
        target=target,
    )


# The end of a request that this process failed to bring to an end.
INTERNAL_FAILURE = RequestResult(
    Outcome.UNKNOWN,
    error=errors.UnavailableError(
        "this entry failed on the request and can't tell whether it ran",
        "send it again with the same key; see the log of the entry",
    ),
)


def lease_expired(
    may_have_run: bool,
    remedy: str = "send it to another entry, with the same key if it has one",
) -> RequestResult:
    """Returns the end of a request at an entry whose lease ran out.

    Args:
        may_have_run: Whether the request may have been sent before, so that
            only its claim could tell whether it ran.
        remedy: What the caller can do.
    """
    req_result = not_run("this entry can't confirm its settings", remedy)
    if may_have_run:
        return dataclasses.replace(req_result, outcome=Outcome.UNKNOWN)
    return req_result


def claim_failed(req: Request, reason: errors.Error) -> RequestResult:
    """Returns the end of a request whose claim could not be read."""
    req_result = RequestResult(Outcome.NOT_RUN, error=reason)
    if req.is_first:
        return req_result
    return dataclasses.replace(req_result, outcome=Outcome.UNKNOWN)
