"""A call, and what its caller is told of it."""

import dataclasses

from cardamomkeel import clock
from cardamomkeel.routing import messages

# The deadline of a call whose caller names none.
DEFAULT_DEADLINE_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class Call:
    """One call of a service.

    Attributes:
        service: The service to call.
        method: The HTTP method.
        path: The path and query at the backend server, from its slash on.
        body: The whole body.
        headers: Headers for the backend server.
        deadline_ms: Within how long the answer is of use, repeats included.
        key: The idempotency key; empty for a call that may run many times.
    """

    service: str
    method: str = "GET"
    path: str = "/"
    body: bytes = b""
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    deadline_ms: clock.Millis = DEFAULT_DEADLINE_MS
    key: str = ""


@dataclasses.dataclass(frozen=True)
class Reply:
    """How a call ended.

    Attributes:
        outcome: Whether it was answered, did not run, or may have run.
        status: The HTTP status; 0 where no entry answered.
        headers: The headers of the answer, names in lower case.
        body: The body of the answer, or what the entry says instead.
        reason: Why no entry answered; empty where one did.
        attempts: How often the call was sent.
    """

    outcome: messages.Outcome
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    reason: str = ""
    attempts: int = 0
