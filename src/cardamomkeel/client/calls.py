"""A call of a service and the reply to it."""

import dataclasses

from cardamomkeel import clock
from cardamomkeel.routing import messages

# The deadline of calls that do not set one.
DEFAULT_DEADLINE_MS = 2000.0


@dataclasses.dataclass(frozen=True)
class Call:
    """One call of a service.

    Attributes:
        service: The service to call.
        method: The HTTP method.
        path: The path and query at the backend server, with a leading slash.
        body: The complete body.
        headers: Headers for the backend server.
        deadline_ms: The time limit of the call, retries included.
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
    """The result of a call.

    Attributes:
        outcome: Whether the call was answered, did not run, or may have run.
        status: The HTTP status; 0 if no entry answered.
        headers: The headers of the answer, names in lower case.
        body: The body of the answer, or the error of the entry.
        reason: Why no entry answered; empty if one did.
        attempts: How often the call was sent.
    """

    outcome: messages.Outcome
    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""
    reason: str = ""
    attempts: int = 0
