"""A request between its arrival and its response."""

import asyncio
import dataclasses

from cardamomkeel.gateway import messages


@dataclasses.dataclass(slots=True, eq=False)
class PipelinedRequest:
    """A complete request of a connection that is not answered yet.

    Attributes:
        req: The request.
        keeps_alive: Whether the connection stays open after its response.
        held: The bytes that are held for it.
        task: The running handler.
        response: The response, once there is one.
    """

    req: messages.Request
    keeps_alive: bool
    held: int = 0
    task: asyncio.Task | None = None
    response: messages.Response | None = None
