"""One HTTP/1.1 connection to another process."""

import asyncio
import collections.abc

import httptools

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel.backend_servers import body_stream
from cardamomkeel.backend_servers import client
from cardamomkeel.routing import messages

# Longer bodies are passed on as streams.
MAX_WHOLE_BYTES = 64 * 1024
MAX_HEADER_BYTES = 64 * 1024
READ_BYTES = 64 * 1024
# Shorter bodies are written in one piece with the head.
LARGE_BODY_BYTES = 16 * 1024

_NO_BODY = frozenset([204, 304])
# The status of an answer that switches the protocol.
_SWITCHED = 101


# All connections read into this: what came is parsed before the next read.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


class ProtocolError(Exception):
    """The other side sent what can't be taken for a whole answer."""


class Connection(asyncio.BufferedProtocol):
    """Sends one request at a time and takes its answer.

    A connection serves another request only where the last answer was whole
    and nothing came after it.

    Attributes:
        address: Host and port of the other side.
        opened_at: When it was opened.
        received_at: When the last byte came, or when it was opened.
        closed: Whether it is closed or being closed.
        closed_by_peer: Whether the other side ended it while it was unused.
    """

    def __init__(
        self,
        address: str,
        clk: clock.Clock,
        on_closed: collections.abc.Callable[["Connection"], None],
        share: buffers.Share,
    ):
        self.address = address
        self._clock = clk
        self._on_closed = on_closed
        self._share = share
        self._transport: asyncio.Transport | None = None
        self._answer: asyncio.Future[messages.Answer] | None = None
        self._closed_future: asyncio.Future[None] | None = None
        self._can_write: asyncio.Event | None = None
        self._parser = httptools.HttpResponseParser(self)
        self.opened_at = self.received_at = clk.now()
        self.closed = False
        self.closed_by_peer = False
        self._reset_answer(is_head=False)

    # Called by the users of the connection.

    def request(
        self, head: bytes, body: bytes, is_head: bool
    ) -> asyncio.Future[messages.Answer]:
        """Writes a request; the future gets its answer.

        The connection serves the next request once a streamed answer has
        ended too.
        """
        loop = asyncio.get_running_loop()
        self._answer = loop.create_future()
        self._reset_answer(is_head)
        if len(body) < LARGE_BODY_BYTES:
            self._transport.write(head + body)
        else:
            # Another copy of the body would be held until the answer.
            self._transport.write(head)
            self._transport.write(body)
        return self._answer

    def is_usable(self) -> bool:
        """Tells whether a request may be written."""
        return (
            not self.closed
            and self._answer is None
            and not self._transport.is_closing()
        )

    def has_received(self) -> bool:
        """Tells whether a byte of the answer to this request has come."""
        return self._has_received

    def time_out(self, reason: str) -> None:
        """Fails the request with a TimeoutError."""
        if self._answer is not None and not self._answer.done():
            self._answer.set_exception(TimeoutError(reason))

    def pause(self) -> None:
        """Stops reading."""
        if not self._transport.is_closing():
            self._transport.pause_reading()

    def resume(self) -> None:
        """Reads again."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def close(self) -> None:
        """Closes at once; what has not been answered fails."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    async def close_and_wait(self, timeout_ms: clock.Millis) -> bool:
        """Closes, and waits until the other side has closed too.

        Args:
            timeout_ms: How long to wait for the other side.

        Returns:
            Whether the other side has closed, and so has seen the end.
        """
        self.closed = True
        self._answer = None
        self._end_stream()
        closed_future = self._closed_future
        if not closed_future.done() and self._transport.can_write_eof():
            try:
                self._transport.write_eof()
            except OSError:
                self._transport.abort()
        done, _ = await asyncio.wait(
            [closed_future], timeout=clock.seconds(timeout_ms)
        )
        self._transport.abort()
        return bool(done)

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Notes that the connection is open."""
        self._transport = transport
        self._closed_future = asyncio.get_running_loop().create_future()
        self.opened_at = self.received_at = self._clock.now()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails what has not been answered."""
        self.closed_by_peer = self._answer is None and not self.closed
        self.closed = True
        self._fail(f"the connection ended: {exc!r}" if exc else "it was closed")
        if not self._closed_future.done():
            self._closed_future.set_result(None)
        self._on_closed(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns where to put the bytes that come."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Takes bytes of an answer."""
        if self._answer is None:
            # Nothing was asked: these bytes must not meet a later request.
            if not self.closed:
                self.close()
            return
        self._has_received = True
        self.received_at = self._clock.now()
        try:
            self._parser.feed_data(_READ_BUFFER[:nbytes])
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            if not self._complete:
                cause = exc.__context__ or exc
                self._fail(f"the answer is malformed: {cause!r}")
                self.close()
                return
            self._has_surplus = True
        if self._complete:
            self._finish()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Begins an answer."""
        if self._complete:
            self._has_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        if self._complete:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise ProtocolError("the header is too large")
        self._headers.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Finds out how the answer ends."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if status == _SWITCHED:
            raise ProtocolError("the protocol was switched unasked")
        if status < 200:
            return
        self._status = status
        # The parser forgets this at the end of the message.
        self._keeps_open = self._parser.should_keep_alive()
        if self._is_head:
            self._complete = True
        elif status not in _NO_BODY and not self._has_length():
            raise ProtocolError("an end by closing can't be told from a cut")

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        if self._complete:
            self._has_surplus = True
            return
        if self._stream is not None:
            self._stream.feed(body)
            return
        self._size += len(body)
        self._body.append(body)
        if self._size > MAX_WHOLE_BYTES:
            self._begin_stream()

    def on_message_complete(self) -> None:
        """Ends an answer, or passes over an interim one."""
        if self._complete:
            return
        if self._status:
            self._complete = True
            return
        self._headers = []
        self._header_bytes = 0

    # Parts.

    def _reset_answer(self, is_head: bool) -> None:
        self._is_head = is_head
        self._status = 0
        self._headers: messages.Headers = []
        self._header_bytes = 0
        self._body: list[bytes] = []
        self._size = 0
        self._complete = False
        self._has_surplus = False
        self._has_received = False
        self._keeps_open = False
        self._stream: body_stream.BodyStream | None = None

    def _has_length(self) -> bool:
        return any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )

    def _begin_stream(self) -> None:
        """Passes the answer on before it is whole."""
        self._stream = body_stream.BodyStream(self, self._share)
        for part in self._body:
            self._stream.feed(part)
        self._body = []
        if self._answer.done():
            # It came too late.
            self._stream.close()
            return
        self._answer.set_result(
            messages.Answer(self._status, self._headers, b"", self._stream)
        )

    def _end_stream(self) -> None:
        """Gives up a stream, and hears the other side again."""
        stream, self._stream = self._stream, None
        if stream is None:
            return
        stream.close()
        self.resume()

    def _finish(self) -> None:
        answer = messages.Answer(
            self._status, self._headers, b"".join(self._body)
        )
        waiter, self._answer = self._answer, None
        stream, self._stream = self._stream, None
        if self._has_surplus or not self._keeps_open:
            self.close()
        elif self._is_head:
            # This parser still expects the body that HEAD leaves out.
            self._parser = httptools.HttpResponseParser(self)
        self._headers, self._body = [], []
        if stream is not None:
            stream.complete()
        elif not waiter.done():
            waiter.set_result(answer)

    def _fail(self, reason: str) -> None:
        waiter, self._answer = self._answer, None
        stream, self._stream = self._stream, None
        if stream is not None:
            stream.fail(client.FailureKind.BROKEN, reason)
        elif waiter is not None and not waiter.done():
            waiter.set_exception(ProtocolError(reason))
