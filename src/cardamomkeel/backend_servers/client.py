"""How requests are sent to backend servers and to other entries."""

import dataclasses
import enum
import typing

from returns import result

from cardamomkeel import clock
from cardamomkeel.routing import messages


class FailureKind(enum.Enum):
    """Why there is no whole answer.

    NOT_SENT: No byte of the request can have reached the other side.
    BROKEN: The connection ended after a byte may have reached it.
    TIMED_OUT: The deadline passed after a byte may have reached it.
    GIVEN_UP: Its reader left or was too slow; only streams end so.
    """

    NOT_SENT = "not-sent"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    GIVEN_UP = "given-up"


@dataclasses.dataclass(frozen=True)
class SendFailure:
    """Why a request got no whole answer."""

    kind: FailureKind
    message: str


class Guard(typing.Protocol):
    """Follows one request on its way to the other side."""

    def may_send(self) -> bool:
        """Tells, right before the first byte, whether to send at all."""
        ...

    def note_cancelled(self) -> None:
        """Notes that the other side has ended it, though it gave no answer."""
        ...

    def note_stream_end(self, failure: SendFailure | None) -> None:
        """Notes that a streamed answer has ended, whole or not."""
        ...


class NoGuard:
    """Allows every request."""

    def may_send(self) -> bool:
        """Allows it."""
        return True

    def note_cancelled(self) -> None:
        """Notes nothing."""

    def note_stream_end(self, failure: SendFailure | None) -> None:
        """Notes nothing."""


NO_GUARD = NoGuard()


class Client(typing.Protocol):
    """Sends requests over pooled connections."""

    async def send(
        self,
        address: str,
        req: messages.Request,
        headers: messages.Headers,
        deadline: clock.Millis,
        guard: Guard = NO_GUARD,
    ) -> result.Result[messages.Answer, SendFailure]:
        """Sends a request and returns its answer, whole or as a stream.

        Args:
            address: Host and port of the other side.
            req: The request.
            headers: The headers to send; those of the request do not count.
            deadline: When to give up, on the local clock.
            guard: Asked once a connection is there, right before the first
                byte; nothing is sent where it says no.
        """
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...
