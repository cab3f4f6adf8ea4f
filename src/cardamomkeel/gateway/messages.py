"""Requests and answers as the gateway passes them on."""

import dataclasses
import typing

from cardamomkeel import clock
from cardamomkeel import http_headers


@dataclasses.dataclass(slots=True)
class Request:
    """A request as it came from a caller.

    Attributes:
        method: The method.
        target: Path and query, as they came.
        headers: All headers, as they came.
        body: The whole body.
        arrived: When its first byte came, on the local clock.
    """

    method: str
    target: str
    headers: http_headers.Headers
    body: bytes
    arrived: clock.Millis

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]

    def get(self, name: bytes) -> bytes:
        """Returns the first value of a header, or nothing.

        Args:
            name: The name in lower case.
        """
        for known, value in self.headers:
            if known.lower() == name:
                return value
        return b""

    def count(self, name: bytes) -> int:
        """Returns how often a header came.

        Args:
            name: The name in lower case.
        """
        return sum(known.lower() == name for known, _ in self.headers)


@dataclasses.dataclass(slots=True)
class Response:
    """An answer to a caller.

    Attributes:
        status: The status.
        headers: Its headers, without those that concern one connection.
        body: The whole body.
        closes: Whether the connection ends with it.
    """

    status: int
    headers: http_headers.Headers = dataclasses.field(default_factory=list)
    body: bytes = b""
    closes: bool = False


class Handler(typing.Protocol):
    """Answers requests."""

    async def handle(self, req: Request) -> Response:
        """Returns the answer; cancelled where the caller leaves."""
