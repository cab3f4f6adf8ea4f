"""What a connection of a caller needs of its server."""

import asyncio
import collections.abc
import typing

from cardamomkeel import clock
from cardamomkeel import parse_turns
from cardamomkeel.gateway import held_memory
from cardamomkeel.gateway import messages
from cardamomkeel.log_lines import limits as log_limits
from cardamomkeel.routes import document as document_lib


class Server(typing.Protocol):
    """The server of a connection; `http_server.HttpServer` has the details."""

    handler: messages.Handler
    limits: collections.abc.Callable[[], document_lib.CallerLimits]
    clk: clock.Clock
    connections: set[asyncio.Protocol]
    memory: held_memory.HeldMemory
    body_copies: int
    turns: parse_turns.Turns
    rejection_limit: log_limits.Limit
    in_flight: int
    stopping: bool
    takes_no_more: bool

    def get_body_limit(self, method: str, target: str) -> int:
        """Returns how many bytes the body of a request may have."""

    def admit(self, conn: asyncio.Protocol) -> bool:
        """Registers a connection; returns False if there are too many."""
