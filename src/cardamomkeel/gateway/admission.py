"""What decides on a request before a target is selected for it."""

import dataclasses
import typing

from cardamomkeel import clock
from cardamomkeel.gateway import request_context


@dataclasses.dataclass(frozen=True, slots=True)
class Refusal:
    """The answer to a request that is not admitted.

    Attributes:
        status: The status; 429 and 503 promise that it has not run.
        reason: The cause, for the log and the caller.
        retry_after_ms: When it may be sent again; 0 if that is not told.
    """

    status: int
    reason: str
    retry_after_ms: clock.Millis = 0.0


class Check(typing.Protocol):
    """One condition for the admission of requests."""

    async def admit(
        self, ctx: request_context.RequestContext
    ) -> Refusal | None:
        """Returns why a request is refused, or None if it is admitted."""
        ...

    def recheck(self, ctx: request_context.RequestContext) -> Refusal | None:
        """Returns why a request may not be sent now; it may have waited.

        Args:
            ctx: A request that this check has admitted.
        """
        ...

    def note_end(self, ctx: request_context.RequestContext, ran: bool) -> None:
        """Records the end of a request that this check has admitted.

        Args:
            ctx: The request.
            ran: Whether a target may have run it.
        """
        ...
