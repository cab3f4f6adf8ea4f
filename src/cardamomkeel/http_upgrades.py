"""Ignores offers of another protocol in requests.

The parser takes a request with an offer for complete at the end of its head and
stops there, whatever body follows. Another parser reads the body, from a short
head with the same length and coding.
"""

import collections.abc
import typing

import httptools

from cardamomkeel import http_headers

# The headers that decide where a request ends and whether its connection stays.
_KEPT = frozenset([b"content-length", b"transfer-encoding"])


class RequestCallbacks(typing.Protocol):
    """What the parser calls."""

    def on_message_begin(self) -> None:
        """Begins a request."""

    def on_url(self, url: bytes) -> None:
        """Receives a part of the request target."""

    def on_header(self, name: bytes, value: bytes) -> None:
        """Receives a header or a trailer."""

    def on_headers_complete(self) -> None:
        """Ends the head."""

    def on_body(self, body: bytes) -> None:
        """Receives a part of the body."""

    def on_message_complete(self) -> None:
        """Ends the request."""


class ResumedParser:
    """Reads on behind the head of a request whose offer is ignored.

    Attributes:
        parser: The parser for the bytes that follow.
    """

    def __init__(
        self,
        stopped: httptools.HttpRequestParser,
        headers: http_headers.Headers,
        callbacks: RequestCallbacks,
    ):
        """Creates the parser; `read_head` has to be called next.

        Args:
            stopped: The parser that has stopped behind the head.
            headers: The headers of the request.
            callbacks: Called for the body and for the requests behind it.
        """
        self._callbacks = callbacks
        self._in_head = True
        self._head = _make_head(stopped, headers)
        self.on_body = callbacks.on_body
        self.on_message_complete = callbacks.on_message_complete
        self.parser = httptools.HttpRequestParser(self)

    def read_head(self) -> None:
        """Brings the parser to the begin of the body."""
        self.parser.feed_data(self._head)
        self._in_head = False

    def on_message_begin(self) -> None:
        """Passes on the begin of a later request."""
        if not self._in_head:
            self._callbacks.on_message_begin()

    def on_url(self, url: bytes) -> None:
        """Passes on the target of a later request."""
        if not self._in_head:
            self._callbacks.on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Passes on a trailer, or a header of a later request."""
        if not self._in_head:
            self._callbacks.on_header(name, value)

    def on_headers_complete(self) -> None:
        """Passes on the end of a later head."""
        if not self._in_head:
            self._callbacks.on_headers_complete()


def _make_head(
    stopped: httptools.HttpRequestParser,
    headers: collections.abc.Iterable[tuple[bytes, bytes]],
) -> bytes:
    method = stopped.get_method()
    version = stopped.get_http_version().encode()
    lines = [b"%s / HTTP/%s" % (method, version)]
    lines += [b"%s: %s" % pair for pair in headers if pair[0].lower() in _KEPT]
    connection = b"keep-alive" if stopped.should_keep_alive() else b"close"
    lines.append(b"Connection: " + connection)
    return b"\r\n".join(lines) + b"\r\n\r\n"
