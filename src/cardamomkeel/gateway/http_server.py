"""Serves HTTP/1.1 to callers: pipelining, limits and a graceful stop.

Responses are written in the order of their requests. Safe requests run
concurrently. Any other request runs alone, once all earlier ones are answered:
a caller resends the requests behind a response that closes the connection.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import http

import httptools
import loguru

from cardamomkeel import accepting
from cardamomkeel import body_parts
from cardamomkeel import clock
from cardamomkeel import http_framing
from cardamomkeel import http_headers
from cardamomkeel import http_upgrades
from cardamomkeel import listening
from cardamomkeel.gateway import messages
from cardamomkeel.log_lines import limits as log_limits
from cardamomkeel.routes import document as document_lib
from cardamomkeel.settings import addresses

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
CLOSE_CHECK_INTERVAL_MS = 20.0
# A stopping process closes connections that were unused for this time. On a
# connection that was just opened, a request may be on its way.
MIN_UNUSED_MS = 300.0
# How long after it stopped to listen a stopping process waits for the rest of a
# request.
LAST_REQUEST_MS = 500.0
# How long the last responses of a stopping process may take to be sent.
LAST_RESPONSES_MS = 150.0

_SAFE_METHODS = frozenset(["GET", "HEAD"])
# Duplicates of these headers are rejected, since two parsers may pick different
# values.
_SINGLE_HEADERS = frozenset([b"content-length", b"host", b"transfer-encoding"])
# The only transfer coding that is decoded. A body in another coding would be
# forwarded with the wrong meaning.
_CHUNKED = b"chunked"
_NO_BODY = frozenset([204, 304])
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}

logger = loguru.logger


@dataclasses.dataclass(slots=True, eq=False)
class _PipelinedRequest:
    """A complete request of a connection that is not answered yet."""

    req: messages.Request
    keeps_alive: bool
    task: asyncio.Task | None = None
    response: messages.Response | None = None


class _RequestRejected(Exception):  # noqa: N818
    """A request breaks a limit or has ambiguous headers.

    Attributes:
        status: The status of the response.
    """

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


class _Connection(asyncio.Protocol):
    """A connection of a caller."""

    def __init__(self, server: "HttpServer"):
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
        self._pipeline: collections.deque[_PipelinedRequest] = (
            collections.deque()
        )
        self._timer: asyncio.TimerHandle | None = None
        self._paused = False
        self._closing = False
        self._last_used_at = self._clock.now()
        self._reset_request()
        self._receiving = False

    # Called by the event loop.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Registers the connection and starts its idle timer."""
        self._transport = transport
        self._server.connections.add(self)
        self._last_used_at = self._clock.now()
        self._start_timer(self._limits.idle_ms, self._close_idle)

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the handlers of the unanswered requests."""
        self._server.connections.discard(self)
        self._stop_timer()
        self._closing = True
        self._body.clear()
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
            self._start_timer(BODY_STALL_MS, self._reject_slow)
        self._framing.count_received(len(data))
        try:
            self._parse(data)
        except httptools.HttpParserError as exc:
            status = 400
            if isinstance(exc.__context__, _RequestRejected):
                status = exc.__context__.status
            self._reject(status, str(exc))
        else:
            if self._framing.is_exceeded():
                self._reject(431, "too many bytes outside a body")

    def _parse(self, data: bytes) -> None:
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
        elif not self._paused:
            self._paused = True
            self._transport.pause_reading()

    # Called by the parser.

    def _reset_request(self) -> None:
        self._url = b""
        self._headers: list[tuple[bytes, bytes]] = []
        self._header_bytes = 0
        self._body = body_parts.BodyParts()
        self._body_bytes = 0
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
        self._start_timer(self._limits.header_ms, self._reject_slow)

    def on_url(self, url: bytes) -> None:
        """Appends a part of the request target."""
        self._count_header_bytes(len(url))
        self._url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers of a chunked body are dropped."""
        self._count_header_bytes(len(name) + len(value) + 4)
        if not self._headers_done:
            self._headers.append((name, value))

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        too_many = len(self._headers) >= MAX_HEADERS
        if self._header_bytes > self._limits.header_bytes or too_many:
            raise _RequestRejected(431)

    def on_headers_complete(self) -> None:
        """Checks the headers and answers `Expect: 100-continue`.

        Raises:
            _RequestRejected: A tunnel is asked for, a header is ambiguous or
                the body is too long.
        """
        self._headers_done = True
        if self._closing:
            return
        if self._parser.get_method() == b"CONNECT":
            raise _RequestRejected(501)
        seen = set()
        for name, value in self._headers:
            lowered = name.lower()
            if lowered in _SINGLE_HEADERS:
                if lowered in seen:
                    raise _RequestRejected(400)
                seen.add(lowered)
            if lowered == b"content-length":
                length = http_headers.parse_number(value)
                if length is None or length > self._limits.body_bytes:
                    raise _RequestRejected(413)
            elif lowered == b"transfer-encoding":
                if value.lower() != _CHUNKED:
                    raise _RequestRejected(400)
            elif lowered == b"expect" and value.lower() == b"100-continue":
                self._transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._start_timer(BODY_STALL_MS, self._reject_slow)

    def on_body(self, body: bytes) -> None:
        """Stores a part of the body.

        Raises:
            _RequestRejected: The body is too long.
        """
        self._framing.count_body(len(body))
        self._body_bytes += len(body)
        if self._body_bytes > self._limits.body_bytes:
            raise _RequestRejected(413)
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Queues a complete request; pauses reading if the queue is full."""
        if self._closing or self._parser.should_upgrade():
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
        pipelined = _PipelinedRequest(req, self._parser.should_keep_alive())
        self._pipeline.append(pipelined)
        self._closing = self._server.takes_no_more
        self._start_ready()
        if len(self._pipeline) >= MAX_PIPELINED_REQUESTS and not self._paused:
            self._paused = True
            self._transport.pause_reading()

    # Handling requests.

    def _start_ready(self) -> None:
        for index, pipelined in enumerate(self._pipeline):
            if pipelined.task is None:
                if index and pipelined.req.method not in _SAFE_METHODS:
                    return
                self._server.in_flight += 1
                pipelined.task = self._loop.create_task(
                    self._run_handler(pipelined)
                )
            if pipelined.req.method not in _SAFE_METHODS:
                return

    async def _run_handler(self, pipelined: _PipelinedRequest) -> None:
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
        self._write_ready_responses()

    def _write_ready_responses(self) -> None:
        """Writes the responses that no earlier request holds back."""
        while self._pipeline and self._pipeline[0].response is not None:
            pipelined = self._pipeline.popleft()
            response = pipelined.response
            last = (
                response.closes
                or not pipelined.keeps_alive
                or (self._server.stopping and not self._pipeline)
            )
            self._write(pipelined.req, response, last)
            if last:
                self._close_after_response()
                return
        if self._paused and len(self._pipeline) < MAX_PIPELINED_REQUESTS:
            self._paused = False
            self._transport.resume_reading()
        self._start_ready()
        if not self._pipeline and not self._receiving:
            self._last_used_at = self._clock.now()
            self._start_timer(self._limits.idle_ms, self._close_idle)

    def _write(
        self, req: messages.Request, response: messages.Response, last: bool
    ) -> None:
        parts = [
            b"HTTP/1.1 %d %s\r\n"
            % (
                response.status,
                _REASONS.get(response.status, "Status").encode(),
            )
        ]
        parts.extend(b"%s: %s\r\n" % pair for pair in response.headers)
        if response.status not in _NO_BODY and req.method != "HEAD":
            parts.append(b"Content-Length: %d\r\n" % len(response.body))
        if last:
            parts.append(b"Connection: close\r\n")
        parts.append(b"\r\n")
        if response.status not in _NO_BODY and req.method != "HEAD":
            parts.append(response.body)
        self._transport.write(b"".join(parts))

    def _close_after_response(self) -> None:
        """Closes the connection; later pipelined requests are cancelled."""
        self._closing = True
        for pipelined in self._pipeline:
            if pipelined.task is not None:
                pipelined.task.cancel()
        self._pipeline.clear()
        self._half_close()

    def _half_close(self) -> None:
        """Closes the sending half and discards received bytes for a while."""
        self._closing = True
        if self._transport.is_closing():
            return
        if self._paused:
            self._transport.resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        self._start_timer(LINGER_MS, self._transport.close)

    def _reject(self, status: int, reason: str) -> None:
        """Queues an error response behind the earlier requests."""
        self._closing = True
        self._receiving = False
        self._stop_timer()
        if self._server.rejection_limit.may_write():
            logger.info(
                "rejected invalid request", status=status, reason=reason
            )
        req = messages.Request("GET", "", [], b"", self._clock.now())
        pipelined = _PipelinedRequest(req, False)
        pipelined.response = messages.Response(status, closes=True)
        self._pipeline.append(pipelined)
        self._write_ready_responses()

    # Timers.

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


class HttpServer:
    """Serves one handler at one address.

    Attributes:
        handler: Called with each complete request; returns the response.
        limits: Returns the current limits on requests.
        clk: The clock.
        connections: The open connections.
        rejection_limit: Limits the rate of log lines on invalid requests.
        in_flight: Number of requests in the handler.
        stopping: Whether each response closes its connection.
        takes_no_more: Whether a connection takes no request behind another.
    """

    def __init__(
        self,
        handler: messages.Handler,
        clk: clock.Clock,
        limits: collections.abc.Callable[
            [], document_lib.CallerLimits
        ] = document_lib.CallerLimits,
    ):
        self.handler = handler
        self.limits = limits
        self.clk = clk
        self.rejection_limit = log_limits.Limit("rejected invalid request", clk)
        self.connections: set[_Connection] = set()
        self.in_flight = 0
        self.stopping = False
        self.takes_no_more = False
        self._accepted = 0
        self._server: asyncio.Server | None = None

    def _make_connection(self) -> _Connection:
        self._accepted += 1
        return _Connection(self)

    async def start(self, address: str) -> None:
        """Listens at an address, on its early opened socket if there is one."""
        host, port = addresses.split(address)
        sock = listening.pop_opened(address)
        listen_args = {"host": host, "port": port} if sock is None else {}
        with listening.report_bind_errors(address):
            self._server = await asyncio.get_running_loop().create_server(
                self._make_connection,
                **listen_args,
                sock=sock,
                backlog=listening.BACKLOG,
            )

    def begin_stop(self) -> None:
        """Closes connections after their last response from now on."""
        self.stopping = True

    async def stop_listening(self) -> None:
        """Stops accepting connections."""
        if self._server is not None:
            await accepting.accept_waiting(lambda: self._accepted)
            self._server.close()
            self._server = None

    async def finish(self, until: clock.Millis) -> bool:
        """Waits for the requests in flight and takes no new ones.

        Args:
            until: When to stop waiting.

        Returns:
            Whether all requests were answered.
        """
        self.takes_no_more = True
        for conn in list(self.connections):
            conn.take_no_more()
        reject_at = self.clk.now() + LAST_REQUEST_MS
        while self.connections and self.clk.now() < until:
            for conn in list(self.connections):
                if self.clk.now() >= reject_at:
                    conn.reject_incomplete()
                conn.close_if_unused()
            await asyncio.sleep(clock.seconds(CLOSE_CHECK_INTERVAL_MS))
        return not self.in_flight

    async def end_unanswered(self) -> None:
        """Has the handlers answer at once, and waits for the last responses.

        The handlers are cancelled, and may return a response then.
        """
        for conn in list(self.connections):
            conn.end_unanswered()
        until = self.clk.now() + LAST_RESPONSES_MS
        while self.in_flight and self.clk.now() < until:
            await asyncio.sleep(0)
        # The callers read the responses and close their side.
        while self.connections and self.clk.now() < until:
            await asyncio.sleep(clock.seconds(CLOSE_CHECK_INTERVAL_MS))

    def close(self) -> None:
        """Closes all connections at once."""
        for conn in list(self.connections):
            conn.abort()
