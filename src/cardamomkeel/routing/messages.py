"""Requests and how they ended, as entries pass them on."""

import collections.abc
import dataclasses
import enum

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
IDEMPOTENCY_KEY = b"idempotency-key"
SIGN = b"cardamomkeel-sign"


class Outcome(enum.Enum):
    """What a caller is told of its request.

    ANSWERED: A backend server ran it and this is the whole answer.
    NOT_RUN: It certainly did not run; sending it again is safe.
    UNKNOWN: It may have run.
    """

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    UNKNOWN = "unknown"


class Sign(enum.Enum):
    """What an attempt showed of the target it was sent to."""

    NONE = "none"
    SUCCESS = "success"
    SERVER_ERROR = "server-error"
    SHED = "shed"
    REFUSED = "refused"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"


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


@dataclasses.dataclass(frozen=True)
class Answer:
    """A whole answer of a backend server."""

    status: int
    headers: Headers
    body: bytes

    def header(self, name: bytes) -> bytes:
        """Returns the first value of a header, or nothing."""
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return b""


@dataclasses.dataclass(frozen=True)
class Ended:
    """How a request, or one attempt at it, ended.

    Attributes:
        outcome: What can be said to the caller.
        answer: The answer, where there is one.
        error: Why there is none.
        sign: What the attempt showed of the target.
        target: Address of the target; empty where none was tried.
        instance: Its instance, as it announced itself.
    """

    outcome: Outcome
    answer: Answer | None = None
    error: errors.Error | None = None
    sign: Sign = Sign.NONE
    target: str = ""
    instance: str = ""


Attempt = collections.abc.Callable[
    [Request, frozenset[str]], collections.abc.Awaitable[Ended]
]


def not_run(
    message: str, remedy: str, sign: Sign = Sign.NONE, target: str = ""
) -> Ended:
    """Returns the end of a request that certainly did not run."""
    return Ended(
        Outcome.NOT_RUN,
        error=errors.UnavailableError(message, remedy),
        sign=sign,
        target=target,
    )
