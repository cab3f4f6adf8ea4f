"""The interface of clients for backend servers and other entries."""

import dataclasses
import enum
import typing

from returns import result

from cardamomkeel import clock
from cardamomkeel.routing import messages


class FailureKind(enum.Enum):
    """The reason why there is no complete answer.

    NOT_SENT: No byte of the request can have reached the peer.
    BROKEN: The connection ended after a byte may have reached the peer.
    TIMED_OUT: The deadline passed after a byte may have reached the peer.
    GIVEN_UP: The reader of a streamed answer left or was too slow.
    """

    NOT_SENT = "not-sent"
    BROKEN = "broken"
    TIMED_OUT = "timed-out"
    GIVEN_UP = "given-up"


@dataclasses.dataclass(frozen=True)
class SendFailure:
    """Describes why a request got no complete answer."""

    kind: FailureKind
    message: str


class Guard(typing.Protocol):
    """Approves the sending of one request and observes how it ends."""

    def may_send(self) -> bool:
        """Returns whether to send; called right before the first byte."""
        ...

    def note_cancelled(self) -> None:
        """Records that the peer has seen the cancellation of the request."""
        ...

    def note_stream_end(self, failure: SendFailure | None) -> None:
        """Records the end of a streamed answer; None for a complete one."""
        ...


class NoGuard:
    """Approves every request and records nothing."""

    def may_send(self) -> bool:
        """Returns True."""
        return True

    def note_cancelled(self) -> None:
        """Does nothing."""

    def note_stream_end(self, failure: SendFailure | None) -> None:
        """Does nothing."""


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
        """Sends a request and returns its answer, complete or as a stream.

        Args:
            address: Host and port of the peer.
            req: The request.
            headers: The headers to send, instead of those of the request.
            deadline: When to give up, on the local clock.
            guard: Called once a connection is available, right before the
                first byte; nothing is sent if it does not approve.
        """
        ...

    async def close(self) -> None:
        """Closes all connections."""
        ...
