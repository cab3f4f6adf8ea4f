"""Requests, answers and results that the parts of an entry exchange."""

import collections.abc
import dataclasses
import enum
import typing

from cardamomkeel import clock
from cardamomkeel import errors

Headers = list[tuple[bytes, bytes]]

# Headers of the protocol with callers and backend servers.
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
# The session that holds the claim of a forwarded request.
SESSION = b"cardamomkeel-session"
# Identifies one request on a connection; the answer returns it.
REQUEST_ID = b"cardamomkeel-request-id"
# How often a caller has sent one key, counted from 1.
ATTEMPT = b"cardamomkeel-attempt"


class Outcome(enum.Enum):
    """The outcome that is reported to the caller.

    ANSWERED: A backend server ran the request and answered.
    NOT_RUN: The request did not run; sending it again is safe.
    UNKNOWN: The request may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Sign(enum.Enum):
    """The kind of success or failure of an attempt."""

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
    """A request of a caller.

    Attributes:
        service: The requested service.
        method: The HTTP method.
        path: The path and query at the backend server.
        headers: The headers to forward.
        body: The complete body.
        deadline: When the answer is due, on the local clock.
        depth: The number of nested calls that led to this one.
        idempotent: Whether the request may run more than once.
        key: The idempotency key; empty for none.
        fingerprint: A hash of service, method, path and body.
        is_retry: Whether an earlier attempt has failed.
        is_first: Whether the caller declares that it sends the key for the
            first time.
        session: The session that holds the claim; 0 for none.
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
    """A body ended before it was complete."""


class Stream(typing.Protocol):
    """A body that is forwarded while it is received."""

    async def read(self) -> bytes:
        """Returns the next part, or b"" at the end of a complete body.

        Raises:
            TruncatedBodyError: The body is truncated.
        """
        ...

    def is_complete(self) -> bool:
        """Returns whether the last byte has arrived."""
        ...

    def is_truncated(self) -> bool:
        """Returns whether the body can't become complete."""
        ...

    def on_failure(self, call: collections.abc.Callable[[], None]) -> None:
        """Registers a function to call if the body is truncated."""
        ...

    async def wait_end(self) -> None:
        """Waits until the last byte has arrived or can't arrive."""
        ...

    def close(self) -> None:
        """Stops reading; abandons a body that is incomplete."""
        ...


@dataclasses.dataclass(frozen=True)
class Answer:
    """An answer of a backend server.

    Attributes:
        status: The HTTP status.
        headers: The headers as received.
        body: The complete body; empty if it is streamed.
        stream: A body that is too long to keep in memory, or None.
    """

    status: int
    headers: Headers
    body: bytes
    stream: Stream | None = None

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header, or b"" if it is missing."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return b""


@dataclasses.dataclass(frozen=True)
class RequestResult:
    """The result of a request or of one attempt at it.

    Attributes:
        outcome: The outcome to report to the caller.
        answer: The answer of the backend server; None if there is none.
        error: Why there is no answer, or None.
        sign: The kind of success or failure of the attempt.
        target: The address of the target; empty if none was tried.
        instance: The announced instance of the target.
        final: Whether another attempt would have the same result.
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
        """The streamed body of the answer, or None."""
        return None if self.answer is None else self.answer.stream

    def discard(self) -> None:
        """Closes the stream of an answer that won't be used."""
        if self.stream is not None:
            self.stream.close()


Attempt = collections.abc.Callable[
    [Request, frozenset[str]], collections.abc.Awaitable[RequestResult]
]


def not_run(
    message: str, remedy: str, sign: Sign = Sign.NONE, target: str = ""
) -> RequestResult:
    """Returns the result of a request that did not run."""
    return RequestResult(
        Outcome.NOT_RUN,
        error=errors.UnavailableError(message, remedy),
        sign=sign,
        target=target,
    )


# The result of a request during which this process had an internal error.
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
    """Returns the result of a request at an entry whose lease has expired.

    Args:
        may_have_run: Whether the request may have been sent before; only its
            claim would show whether it ran.
        remedy: What the caller can do.
    """
    req_result = not_run("this entry can't confirm its settings", remedy)
    if may_have_run:
        return dataclasses.replace(req_result, outcome=Outcome.UNKNOWN)
    return req_result


def claim_failed(req: Request, reason: errors.Error) -> RequestResult:
    """Returns the result of a request whose claim could not be made."""
    req_result = RequestResult(Outcome.NOT_RUN, error=reason)
    if req.is_first:
        return req_result
    return dataclasses.replace(req_result, outcome=Outcome.UNKNOWN)
