"""One HTTP/1.1 connection of a caller: pipelining and limits.

Responses are written in the order of their requests. Safe requests run
concurrently. Any other request runs alone, once all earlier ones are answered:
a caller resends the requests behind a response that closes the connection.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import functools

import httptools
import loguru

from cardamomkeel import clock
from cardamomkeel import http_framing
from cardamomkeel import http_headers
from cardamomkeel import http_upgrades
from cardamomkeel import long_body
from cardamomkeel import parse_turns
from cardamomkeel.gateway import body_room
from cardamomkeel.gateway import caller_server
from cardamomkeel.gateway import held_memory
from cardamomkeel.gateway import messages
from cardamomkeel.gateway import pipelined_request
from cardamomkeel.gateway import reading_pauses
from cardamomkeel.gateway import request_head
from cardamomkeel.gateway import response_writer

# Limit on unanswered requests of one connection; reading pauses beyond it.
MAX_PIPELINED_REQUESTS = 32
MAX_HEADERS = 200
# Method, version and spaces of a request line; its target counts as header.
MAX_REQUEST_LINE_BYTES = 100
# How long the rest of a rejected request is read and discarded. Closing a
# connection with unread bytes would lose the response on its way.
LINGER_MS = 500.0
# A request whose body is incomplete is rejected after this time without a byte.
BODY_STALL_MS = 10_000.0
# How long a body may take to arrive. No route's timeout is longer.
MAX_BODY_MS = 600_000.0
# By how much the room for a body without a length grows.
UNANNOUNCED_STEP_BYTES = 8192
# What a caller is told that found no room; its request has not run.
_RETRY_LATER = [(b"Retry-After", b"1")]
# A stopping process closes connections that were unused for this time. On a
# connection that was just opened, a request may be on its way.
MIN_UNUSED_MS = 300.0

_SAFE_METHODS = frozenset(["GET", "HEAD"])

logger = loguru.logger


class Connection(asyncio.Protocol):
    """A connection of a caller.

    Attributes:
        account: The bytes that it holds.
    """

    def __init__(self, server: caller_server.Server):
        self._server = server
        self._clock = server.clk
        self._limits = server.limits()
        self._loop = asyncio.get_running_loop()
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._framing = http_framing.FramingBytes(
            self._limits.header_bytes + MAX_REQUEST_LINE_BYTES
        )
        self._discarded = http_framing.FramingBytes(
            http_framing.MAX_DISCARDED_BYTES
        )
        self._pipeline: collections.deque[
            pipelined_request.PipelinedRequest
        ] = collections.deque()
        self._timer: asyncio.TimerHandle | None = None
        self._pauses = reading_pauses.ReadingPauses()
        self._closing = False
        self._last_used_at = self._clock.now()
        self._body = long_body.LongBody()
        self._receiving = False
        self.account = held_memory.Account(server.memory, self)
        self._pending_held = 0
        self._writer: response_writer.ResponseWriter | None = None
        self._slicer = parse_turns.Slicer(
            server.turns,
            self._feed,
            functools.partial(self._pauses.set, reading_pauses.Reason.TURN),
        )
        self._room = body_room.BodyRoom(
            server.memory,
            self.account,
            server.body_copies,
            self._set_waiting,
            self._refuse_for_room,
        )
        self._reset_request()

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timer."""
        self._transport = transport
        self._pauses.open(transport)
        self._writer = response_writer.ResponseWriter(transport, self.account)
        if not self._server.admit(self):
            transport.abort()
            return
        self._last_used_at = self._clock.now()
        self._start_timer(self._limits.idle_ms, self._close_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the handlers of the unanswered requests."""
        self._server.connections.discard(self)
        self._stop_timer()
        self._closing = True
        self._slicer.drop()
        self._room.drop()
        self._body.clear()
        self._writer.close()
        self.account.close()
        for pipelined in self._pipeline:
            if pipelined.task is not None:
                pipelined.task.cancel()
        self._pipeline.clear()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes and rejects invalid requests."""
        if self._closing:
            self._discard(data)
            return
        if self._receiving and self._headers_done:
            self._start_body_timer()
        self._slicer.receive(data)
        if self._slicer.pending:
            self._hold_pending()

    def _hold_pending(self) -> None:
        """Holds the bytes that wait to be parsed."""
        size = self._slicer.pending
        self.account.charge(size - self._pending_held)
        self._pending_held = size
        if self._server.memory.is_over() and not self._closing:
            self._refuse_for_room()

    def _drop_pending(self) -> None:
        """Drops the bytes that wait to be parsed."""
        self._slicer.drop()
        self.account.charge(-self._pending_held)
        self._pending_held = 0

    def pause_writing(self) -> None:
        """Reads no more requests while the caller takes no responses."""
        self._pauses.add(reading_pauses.Reason.UNTAKEN)

    def resume_writing(self) -> None:
        """Reads requests again."""
        self._pauses.remove(reading_pauses.Reason.UNTAKEN)

    def _feed(self, data: memoryview) -> None:
        """Parses a slice of the received bytes."""
        if self._pending_held:
            self.account.charge(self._slicer.pending - self._pending_held)
            self._pending_held = self._slicer.pending
        if self._closing:
            self._drop_pending()
            return
        self._framing.count_received(len(data))
        before = self._body_bytes
        try:
            self._parse(data)
        except httptools.HttpParserError as exc:
            status = 400
            if isinstance(exc.__context__, request_head.RequestRejected):
                status = exc.__context__.status
            if not self._closing:
                self._reject(status, str(exc))
        else:
            if self._framing.is_exceeded() and not self._closing:
                self._reject(431, "too many bytes outside a body")
        if self._body_bytes > before:
            self.account.note_moved(self._body_bytes - before)

    def _parse(self, data: memoryview) -> None:
        while data:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                data = data[exc.args[0] :]
                resumed = http_upgrades.ResumedParser(
                    self._parser, self._headers, self
                )
                self._parser = resumed.parser
                resumed.read_head()
            else:
                return

    def _discard(self, data: bytes) -> None:
        self._discarded.count_received(len(data))
        if not self._discarded.is_exceeded():
            return
        if not self._pipeline:
            self.abort()
        else:
            self._pauses.add(reading_pauses.Reason.DISCARDED)

    # Called by the parser.

    def _reset_request(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body.clear()
        self._body_bytes = 0
        self._max_body_bytes = self._limits.body_bytes
        self._headers_done = False
        self._began_at = 0.0

    def on_message_begin(self) -> None:
        """Begins a request and starts its header timer."""
        self._reset_request()
        if self._closing:
            return
        self._receiving = True
        self._limits = self._server.limits()
        self._framing.limit = self._limits.header_bytes + MAX_REQUEST_LINE_BYTES
        self._began_at = self._clock.now()
        self.account.note_used()
        self._start_timer(self._limits.header_ms, self._reject_slow)

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._count_header_bytes(len(url))
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers of a chunked body are dropped."""
        self._slicer.count_call()
        self._count_header_bytes(len(name) + len(value) + 4)
        if not self._headers_done:
            self._headers.append((name, value))

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        too_many = len(self._headers) >= MAX_HEADERS
        if self._header_bytes > self._limits.header_bytes or too_many:
            raise request_head.RequestRejected(431)

    def on_headers_complete(self) -> None:
        """Checks the headers and answers `Expect: 100-continue`.

        Raises:
            request_head.RequestRejected: A tunnel is asked for, a header is
                ambiguous or the body is too long.
        """
        self._headers_done = True
        if self._closing:
            return
        method = self._parser.get_method()
        self._max_body_bytes = self._server.get_body_limit(
            method.decode("ascii"), self._url.decode("latin-1")
        )
        head = request_head.check(method, self._headers, self._max_body_bytes)
        if head.expects_continue:
            self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if head.length:
            self._body.expect(head.length)
            self._hold_body(head.length)
        self._start_body_timer()

    def _hold_body(self, size: int) -> None:
        if not self._room.can_ever_hold(size):
            raise request_head.RequestRejected(413)
        self._room.grow(size)

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body.

        Raises:
            request_head.RequestRejected: The body is too long.
        """
        self._slicer.count_call()
        if self._closing:
            return
        self._framing.count_body(len(body))
        self._body_bytes += len(body)
        if self._body_bytes > self._max_body_bytes:
            raise request_head.RequestRejected(413)
        if self._body_bytes > self._room.wanted:
            self._hold_body(self._body_bytes + UNANNOUNCED_STEP_BYTES)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues a complete request; pauses reading if the queue is full."""
        if self._closing or self._parser.should_upgrade():
            return
        if self._room.is_waiting():
            self._refuse_for_room()
            return
        self._receiving = False
        self._framing.reset()
        self._stop_timer()
        req = messages.Request(
            self._parser.get_method().decode("ascii"),
            self._url.decode("latin-1"),
            self._headers,
            self._body.join(),
            self._began_at,
        )
        pipelined = pipelined_request.PipelinedRequest(
            req, self._parser.should_keep_alive(), self._room.hand_over()
        )
        self._pipeline.append(pipelined)
        self._closing = self._server.takes_no_more
        self._start_ready()
        if len(self._pipeline) >= MAX_PIPELINED_REQUESTS:
            self._pauses.add(reading_pauses.Reason.PIPELINE)

    # Handling requests.

    def _start_ready(self) -> None:
        for index, pipelined in enumerate(self._pipeline):
            if pipelined.task is None and pipelined.response is None:
                if index and pipelined.req.method not in _SAFE_METHODS:
                    return
                self._server.in_flight += 1
                pipelined.task = self._loop.create_task(
                    self._run_handler(pipelined)
                )
            if pipelined.req.method not in _SAFE_METHODS:
                return

    async def _run_handler(
        self, pipelined: pipelined_request.PipelinedRequest
    ) -> None:
        try:
            pipelined.response = await self._server.handler.handle(
                pipelined.req
            )
        except asyncio.CancelledError:
            return
        except Exception:
            logger.exception("request failed", path=pipelined.req.path)
            pipelined.response = messages.Response(500, closes=True)
        finally:
            self._server.in_flight -= 1
        self._hold_response(pipelined)
        self._write_ready_responses()

    def _hold_response(
        self, pipelined: pipelined_request.PipelinedRequest
    ) -> None:
        """Holds a response in place of its request."""
        if self._transport.is_closing():
            return
        size = len(pipelined.response.body)
        self.account.charge(size - pipelined.held)
        pipelined.held = size
        if len(pipelined.req.body) > long_body.SHORT_BYTES:
            pipelined.req = dataclasses.replace(pipelined.req, body=b"")

    def _write_ready_responses(self) -> None:
        """Writes the responses that no earlier request holds back."""
        while self._pipeline and self._pipeline[0].response is not None:
            pipelined = self._pipeline.popleft()
            if pipelined.held:
                self.account.charge(-pipelined.held)
            response = pipelined.response
            last = (
                response.closes
                or not pipelined.keeps_alive
                or (self._server.stopping and not self._pipeline)
            )
            self._writer.write(pipelined.req.method, response, last)
            if last:
                self._close_after_response()
                return
        if len(self._pipeline) < MAX_PIPELINED_REQUESTS:
            self._pauses.remove(reading_pauses.Reason.PIPELINE)
        self._start_ready()
        if not self._pipeline and not self._receiving:
            self._last_used_at = self._clock.now()
            self.account.note_used()
            self._start_timer(self._limits.idle_ms, self._close_idle)

    def _close_after_response(self) -> None:
        """Closes the connection; later pipelined requests are cancelled."""
        self._closing = True
        for pipelined in self._pipeline:
            if pipelined.task is not None:
                pipelined.task.cancel()
        self._free_pipeline()
        self._half_close()

    def _free_pipeline(self) -> None:
        self.account.charge(-sum(p.held for p in self._pipeline))
        self._pipeline.clear()

    def _half_close(self) -> None:
        """Closes the sending half and discards received bytes for a while."""
        self._closing = True
        if self._transport.is_closing():
            return
        self._drop_pending()
        self._pauses.clear()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._start_timer(LINGER_MS, self._transport.close)

    def _reject(
        self,
        status: int,
        reason: str,
        headers: http_headers.Headers | None = None,
    ) -> None:
        """Queues an error response behind the earlier requests."""
        self._closing = True
        self._receiving = False
        self._stop_timer()
        self._drop_pending()
        self._room.drop()
        self._body.clear()
        if self._server.rejection_limit.may_write():
            logger.info(
                "rejected invalid request", status=status, reason=reason
            )
        req = messages.Request("GET", "", [], b"", self._clock.now())
        pipelined = pipelined_request.PipelinedRequest(req, False)
        pipelined.response = messages.Response(
            status, headers or [], closes=True
        )
        self._pipeline.append(pipelined)
        self._write_ready_responses()

    # Memory.

    def _set_waiting(self, waits: bool) -> None:
        if self._closing:
            return
        if waits:
            self._slicer.hold()
            self._stop_timer()
        else:
            self._slicer.release()
            self._start_body_timer()

    def _refuse_for_room(self) -> None:
        self._reject(503, "no room for the body", _RETRY_LATER)

    def is_endable(self) -> bool:
        """Returns whether its request has not run, or its answer waits."""
        if self._writer.untaken:
            return True
        if self._closing or self._slicer.pending:
            return False
        return self._receiving or not self._pipeline

    def end_for_room(self) -> None:
        """Refuses its request that has not run, or closes it."""
        if self._writer.untaken or not self._receiving:
            self.end_for_place()
        else:
            self._reject(503, "stood still with its bytes", _RETRY_LATER)

    def is_idle(self) -> bool:
        """Returns whether it has no request, and has taken all answers."""
        is_unused = not self._receiving and not self._writer.untaken
        return is_unused and not self._pipeline and not self._closing

    def is_taking_answer(self) -> bool:
        """Returns whether its caller has not taken all of its answers."""
        return self._writer.untaken > 0

    def is_replaceable(self) -> bool:
        """Returns whether no request of it may run."""
        return not self._pipeline

    def end_for_place(self) -> None:
        """Closes the connection at once, and frees its bytes."""
        self._closing = True
        self._server.connections.discard(self)
        self.account.close()
        self.abort()

    # Timers.

    def _start_body_timer(self) -> None:
        left_ms = self._began_at + MAX_BODY_MS - self._clock.now()
        self._start_timer(
            max(0.0, min(BODY_STALL_MS, left_ms)), self._reject_slow
        )

    def _start_timer(
        self,
        delay_ms: clock.Millis,
        callback: collections.abc.Callable[[], None],
    ) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(clock.seconds(delay_ms), callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _reject_slow(self) -> None:
        self._reject(408, "the request did not arrive in time")

    def _close_idle(self) -> None:
        if not self._pipeline and not self._receiving:
            self._transport.close()

    def close_if_unused(self) -> None:
        """Closes the connection if it was unused for `MIN_UNUSED_MS`."""
        quiet_ms = self._clock.now() - self._last_used_at
        is_unused = not self._pipeline and not self._receiving
        if is_unused and quiet_ms >= MIN_UNUSED_MS and not self._closing:
            self._closing = True
            self._transport.close()

    def take_no_more(self) -> None:
        """Discards requests behind those that were received."""
        if self._pipeline and not self._closing:
            self._closing = True
            self._receiving = False
            self._stop_timer()

    def reject_incomplete(self) -> None:
        """Rejects a request that is not complete yet; it has not run."""
        if self._receiving and not self._closing:
            self._reject(503, "this process stops")

    def end_unanswered(self) -> None:
        """Has the handlers answer at once; drops requests without one."""
        while self._pipeline and self._pipeline[-1].task is None:
            self._pipeline.pop()
        for pipelined in self._pipeline:
            if pipelined.response is None:
                pipelined.task.cancel()

    def abort(self) -> None:
        """Closes the connection at once."""
        if self._transport is not None:
            self._transport.abort()
