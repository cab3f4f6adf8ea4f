"""An HTTP/1.1 client connection to another process."""

import asyncio
import collections.abc

import httptools

from cardamomkeel import body_parts
from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel import http_framing
from cardamomkeel import status_line
from cardamomkeel.backend_servers import body_stream
from cardamomkeel.backend_servers import client
from cardamomkeel.routing import messages

# Longer bodies are streamed.
MAX_WHOLE_BYTES = 64 * 1024
# Limit of the size of the headers of an answer.
MAX_HEADER_BYTES = 64 * 1024
# Limit of the bytes before, between and after the parts of a body: headers,
# interim answers, chunk sizes, trailers and answers to other requests.
MAX_FRAMING_BYTES = 2 * MAX_HEADER_BYTES
READ_BYTES = 64 * 1024
# Shorter bodies are joined with the head and written at once.
LARGE_BODY_BYTES = 16 * 1024

_NO_BODY = frozenset([204, 304])
# Status of an answer that switches the protocol.
_SWITCHED = 101


# Shared by all connections: received bytes are parsed before the next read.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


class ProtocolError(Exception):
    """The peer did not send a complete, valid answer."""


class Connection(asyncio.BufferedProtocol):
    """Sends one request at a time and receives its answer.

    A connection is reused only if the last answer was complete and no bytes
    followed it. The answer to an earlier request may be received in place of
    the expected one. It is discarded, and the connection serves no further
    request.

    Attributes:
        address: Host and port of the peer.
        opened_at: When the connection was opened.
        received_at: When the last byte was received, or the connection opened.
        closed: Whether the connection is closed or being closed.
        closed_by_peer: Whether the peer closed the connection while it was
            unused.
        answers: How many answers were accepted.
        unexpected_answers: How many answers to other requests were discarded.
    """

    def __init__(
        self,
        address: str,
        clk: clock.Clock,
        on_closed: collections.abc.Callable[["Connection"], None],
        share: buffers.Share,
        id_header: bytes,
    ):
        """Creates a connection that is not open yet.

        Args:
            address: Host and port of the peer.
            clk: The clock.
            on_closed: Called once the connection is closed.
            share: Limits the memory for bodies.
            id_header: The header in which an answer returns the request id,
                in lower case.
        """
        self.address = address
        self._id_header = id_header
        self._expected_id = b""
        self._returns_ids = False
        self.answers = 0
        self.unexpected_answers = 0
        self._framing = http_framing.FramingBytes(MAX_FRAMING_BYTES)
        self._first_line = status_line.FirstLine()
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

    def expect(self, request_id: bytes) -> None:
        """Sets the id that the next answer has to carry.

        Args:
            request_id: Id of the request; empty for a probe, which has none.
        """
        self._expected_id = request_id

    def request(
        self, head: bytes, body: bytes | memoryview, is_head: bool
    ) -> asyncio.Future[messages.Answer]:
        """Writes a request and returns a future for its answer.

        The connection can be reused only after a streamed answer has ended.
        """
        loop = asyncio.get_running_loop()
        self._answer = loop.create_future()
        self._reset_answer(is_head)
        self._framing.reset()
        self._first_line.reset()
        if len(body) < LARGE_BODY_BYTES:
            self._transport.write(head + body)
        else:
            # Joining the head and a large body would copy the body and keep
            # the copy in memory until it is sent.
            self._transport.write(head)
            self._transport.write(body)
        return self._answer

    def is_usable(self) -> bool:
        """Returns whether a request may be written."""
        return (
            not self.closed
            and self._answer is None
            and not self._transport.is_closing()
        )

    def has_received(self) -> bool:
        """Returns whether any byte of the answer was received."""
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
        """Resumes reading."""
        if not self._transport.is_closing():
            self._transport.resume_reading()

    def close(self) -> None:
        """Closes at once; an unanswered request fails."""
        self.closed = True
        if self._transport is not None:
            self._transport.abort()

    async def close_and_wait(self, timeout_ms: clock.Millis) -> bool:
        """Closes the sending side and waits until the peer has closed too.

        Args:
            timeout_ms: How long to wait for the peer.

        Returns:
            Whether the peer has closed, and so has seen the end of the request.
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
        """Records when the connection was opened."""
        self._transport = transport
        self._closed_future = asyncio.get_running_loop().create_future()
        self.opened_at = self.received_at = self._clock.now()

    def connection_lost(self, exc: Exception | None) -> None:
        """Fails an unanswered request."""
        self.closed_by_peer = self._answer is None and not self.closed
        self.closed = True
        self._fail(f"the connection ended: {exc!r}" if exc else "it was closed")
        if not self._closed_future.done():
            self._closed_future.set_result(None)
        self._on_closed(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for received bytes."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes of an answer."""
        if self._answer is None:
            # Without a request in flight, these bytes could be mistaken for
            # the answer to a later one.
            if not self.closed:
                self.close()
            return
        self._has_received = True
        self.received_at = self._clock.now()
        self._framing.count_received(nbytes)
        if self._first_line.is_wrong(_READ_BUFFER[:nbytes]):
            self._fail("the answer does not begin with a status line")
            self.close()
            return
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
        elif self._framing.is_exceeded():
            self._fail("the answer has too many bytes outside its body")
            self.close()

    # Called by the parser.

    def on_message_begin(self) -> None:
        """Detects a second answer after a complete one."""
        if self._complete:
            self._has_surplus = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header of the answer.

        Raises:
            ProtocolError: The headers are too large.
        """
        if self._complete:
            return
        self._header_bytes += len(name) + len(value)
        if self._header_bytes > MAX_HEADER_BYTES:
            raise ProtocolError("the header is too large")
        self._headers.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Determines how the end of the answer is detected.

        Raises:
            ProtocolError: The protocol was switched, or the status line is not
                valid, or the answer has no length.
        """
        if self._complete:
            return
        status = self._parser.get_status_code()
        version = self._parser.get_http_version()
        if not status_line.is_valid(version, status):
            raise ProtocolError(f"HTTP/{version} {status} is no answer")
        if status == _SWITCHED:
            raise ProtocolError("the protocol was switched unasked")
        if status < 200:
            return
        self._begin_answer(status)

    def _begin_answer(self, status: int) -> None:
        """Sets the status of a final answer and how its end is detected.

        Raises:
            ProtocolError: The end of the answer can't be detected.
        """
        self._status = status
        # The parser resets this at the end of the message.
        self._keeps_open = self._parser.should_keep_alive()
        self._is_stray = not self._is_expected()
        if self._is_head:
            if self._is_stray:
                raise ProtocolError("it answers another request")
            self._complete = True
        elif status not in _NO_BODY and not self._has_length():
            self._handle_missing_length()

    def _handle_missing_length(self) -> None:
        """Handles an answer that ends when the connection is closed."""
        raise ProtocolError("an end by closing can't be told from a cut")

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body; a long body becomes a stream."""
        if self._complete:
            self._has_surplus = True
            return
        if self._is_stray:
            return
        self._framing.count_body(len(body))
        self._store_body(body)

    def _store_body(self, body: bytes) -> None:
        if self._stream is not None:
            self._stream.feed(body)
            return
        self._size += len(body)
        self._body.append(body)
        if self._size > MAX_WHOLE_BYTES:
            self._begin_stream()

    def on_message_complete(self) -> None:
        """Completes an answer, or discards an interim or unexpected one."""
        if self._complete:
            return
        if self._status and not self._is_stray:
            self._complete = True
            return
        if self._is_stray:
            self.unexpected_answers += 1
        self._status = 0
        self._is_stray = False
        self._headers = []
        self._header_bytes = 0

    # Internal.

    def _is_expected(self) -> bool:
        for name, value in self._headers:
            if name.lower() == self._id_header:
                self._returns_ids = True
                return value == self._expected_id
        return self._accepts_without_id()

    def _accepts_without_id(self) -> bool:
        """Returns whether an answer without an id may be the expected one."""
        return not self._returns_ids

    def _reset_answer(self, is_head: bool) -> None:
        self._is_head = is_head
        self._status = 0
        self._headers: messages.Headers = []
        self._header_bytes = 0
        self._body = body_parts.BodyParts()
        self._size = 0
        self._complete = False
        self._has_surplus = False
        self._has_received = False
        self._keeps_open = False
        self._is_stray = False
        self._stream: body_stream.BodyStream | None = None

    def _has_length(self) -> bool:
        return any(
            name.lower() in (b"content-length", b"transfer-encoding")
            for name, _ in self._headers
        )

    def _begin_stream(self) -> None:
        """Completes the future of the answer before the body is complete.

        The answer has a stream, which returns the body.
        """
        self._stream = body_stream.BodyStream(self, self._share)
        self._stream.feed(self._body.join())
        if self._answer.done():
            # The request has timed out or was cancelled.
            self._stream.close()
            return
        self._answer.set_result(
            messages.Answer(self._status, self._headers, b"", self._stream)
        )

    def _end_stream(self) -> None:
        """Closes a stream and resumes reading."""
        stream, self._stream = self._stream, None
        if stream is None:
            return
        stream.close()
        self.resume()

    def _finish(self) -> None:
        answer = messages.Answer(self._status, self._headers, self._body.join())
        waiter, self._answer = self._answer, None
        stream, self._stream = self._stream, None
        self.answers += 1
        if self._has_surplus or self.unexpected_answers or not self._keeps_open:
            self.close()
        elif self._is_head:
            # The parser still expects a body, which an answer to HEAD lacks.
            self._parser = httptools.HttpResponseParser(self)
        self._headers = []
        if stream is not None:
            stream.complete()
        elif not waiter.done():
            waiter.set_result(answer)

    def _fail(self, reason: str) -> None:
        waiter, self._answer = self._answer, None
        stream, self._stream = self._stream, None
        self._body.clear()
        if stream is not None:
            stream.fail(client.FailureKind.BROKEN, reason)
        elif waiter is not None and not waiter.done():
            waiter.set_exception(ProtocolError(reason))
