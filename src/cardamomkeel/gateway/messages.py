"""Requests and responses between the HTTP server and its handlers."""

import dataclasses
import typing

from cardamomkeel import clock
from cardamomkeel import http_headers


@dataclasses.dataclass(slots=True)
class Request:
    """A complete request of a caller.

    Attributes:
        method: The HTTP method.
        target: Path and query, as received.
        headers: All headers, as received.
        body: The complete body; a long one is a view of its pages.
        arrived: When the first byte was received, on the local clock.
    """

    method: str
    target: str
    headers: http_headers.Headers
    body: bytes | memoryview
    arrived: clock.Millis

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]

    def get(self, name: bytes) -> bytes:
        """Returns the first value of a header, or empty bytes.

        Args:
            name: The name in lower case.
        """
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return b""

    def count(self, name: bytes) -> int:
        """Returns how often a header occurs.

        Args:
            name: The name in lower case.
        """
        return sum(known.lower() == name for known, _ in self.headers)


@dataclasses.dataclass(slots=True)
class Response:
    """A response to a caller.

    Attributes:
        status: The HTTP status.
        headers: The end-to-end headers.
        body: The complete body; a long one is a view of its pages.
        closes: Whether the connection is closed after the response.
    """

    status: int
    headers: http_headers.Headers = dataclasses.field(default_factory=list)
    body: bytes | memoryview = b""
    closes: bool = False


class Handler(typing.Protocol):
    """Handles requests of an HTTP server."""

    async def handle(self, req: Request) -> Response:
        """Returns the response; cancelled if the caller disconnects."""
