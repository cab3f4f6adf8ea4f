"""Serves ASGI applications over HTTP/1.1 with low overhead.

Only the HTTP protocol class of uvicorn is used: its server class would install
its own signal handlers and wake up ten times a second.
"""

import asyncio
import collections
import contextlib
import dataclasses
import logging
import typing

import anyio
import httptools
import loguru
import orjson
import uvicorn
from uvicorn import server as uvicorn_server
from uvicorn.protocols.http import flow_control
from uvicorn.protocols.http import httptools_impl

from cardamomkeel import accepting
from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel import http_framing
from cardamomkeel import http_upgrades
from cardamomkeel import listening
from cardamomkeel import parse_turns
from cardamomkeel.routing import messages
from cardamomkeel.settings import addresses

# How long an unused connection of a caller is kept open; common client
# libraries keep theirs as long.
KEEP_ALIVE_MS = 60_000
# How long the rest of a refused request is read and discarded: closing a
# connection with unread bytes would reset it and lose the answer.
LINGER_MS = 1000.0
# How long a request may take to arrive, from its first to its last byte.
RECEIVE_TIMEOUT_MS = 10_000.0
# How long writing an answer may be blocked by a caller that does not read.
UNREAD_TIMEOUT_MS = 10_000.0
MAX_HEADER_BYTES = 32 * 1024
MAX_HEADERS = 100
# How many requests may wait behind the one that runs. A caller that disconnects
# is noticed only while its connection is read.
MAX_PIPELINED_REQUESTS = 8
# A header has a few bytes more than its names and values.
MAX_FRAMING_BYTES = MAX_HEADER_BYTES + 4 * MAX_HEADERS + 100
SHUTDOWN_GRACE_MS = 5000.0
SHUTDOWN_POLL_MS = 20.0

# Key of the ASGI scope: applications set it to True while the request may be
# cancelled if its caller disconnects.
CANCELLABLE = "cardamomkeel.cancellable"

logger = loguru.logger


@dataclasses.dataclass(frozen=True)
class Limits:
    """The maximum number of connections to one listening address.

    Attributes:
        connections: The limit for all peers together.
        per_peer: The limit for one IP number.
    """

    connections: int = 4000
    per_peer: int = 1000


class _LogHandler(logging.Handler):
    """Forwards log records of uvicorn to the log of this process."""

    def emit(self, record: logging.LogRecord) -> None:
        logger.opt(exception=record.exc_info).warning(
            "http: " + record.getMessage().replace("{", "{{")
        )


class _Flow(flow_control.FlowControl):
    """Pauses reading for uvicorn's reasons, and for the turns of parsing."""

    def __init__(self, transport: asyncio.Transport):
        super().__init__(transport)
        self._waits_for_turn = False

    def pause_reading(self) -> None:
        """Pauses reading until `resume_reading`."""
        self._set(True, self._waits_for_turn)

    def resume_reading(self) -> None:
        """Resumes reading, unless received bytes wait for their turn."""
        self._set(False, self._waits_for_turn)

    def set_turn(self, reads: bool) -> None:
        """Pauses or resumes reading for the turns of parsing."""
        self._set(self.read_paused, not reads)

    def _set(self, read_paused: bool, waits_for_turn: bool) -> None:
        was_paused = self.read_paused or self._waits_for_turn
        self.read_paused = read_paused
        self._waits_for_turn = waits_for_turn
        is_paused = read_paused or waits_for_turn
        if is_paused == was_paused or self._transport.is_closing():
            return
        if is_paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()


class HttpProtocol(httptools_impl.HttpToolsProtocol):
    """A connection of a caller, with limits on connections, headers and time.

    Attributes:
        peers: The number of connections by IP number of the peer.
        limits: The maximum number of connections.
        turns: Where connections with costly bytes wait to be parsed.
    """

    peers: collections.Counter[str]
    limits: Limits
    turns: parse_turns.Turns

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Accepts a connection, or refuses it if there are too many."""
        super().connection_made(transport)
        self.flow = _Flow(transport)
        self._slicer = parse_turns.Slicer(
            self.turns, self._feed, self.flow.set_turn
        )
        self._peer = self.client[0] if self.client else ""
        self._timer: asyncio.TimerHandle | None = None
        self._unread_timer: asyncio.TimerHandle | None = None
        self._header_bytes = 0
        self._framing = http_framing.FramingBytes(MAX_FRAMING_BYTES)
        self._discarded = http_framing.FramingBytes(
            http_framing.MAX_DISCARDED_BYTES
        )
        self._receiving = False
        self._receives_body = False
        self._lingering = False
        self._running: httptools_impl.RequestResponseCycle | None = None
        self._task: asyncio.Task | None = None
        self.peers[self._peer] += 1
        if (
            self.peers[self._peer] > self.limits.per_peer
            or len(self.connections) > self.limits.connections
        ):
            self._refuse(
                errors.RequestError(
                    f"too many connections from {self._peer}",
                    "use fewer connections, or another entry",
                    503,
                )
            )
            return
        self._start_timer()

    def connection_lost(self, exc: Exception | None) -> None:
        """Cancels the running request if it may be cancelled."""
        self.peers[self._peer] -= 1
        if not self.peers[self._peer]:
            del self.peers[self._peer]
        self._stop_timer()
        self._slicer.drop()
        self.resume_writing()
        super().connection_lost(exc)
        cycle, task = self._running, self._task
        if cycle is None or cycle.response_complete or task is None:
            return
        # Requests behind it were not started, and never will be.
        cycle.disconnected = True
        cycle.message_event.set()
        if cycle.scope.get(CANCELLABLE):
            task.cancel()

    def data_received(self, data: bytes) -> None:
        """Parses received bytes; discards them while closing."""
        if self.transport.is_closing():
            return
        if self._lingering:
            self._discarded.count_received(len(data))
            if self._discarded.is_exceeded():
                self.transport.abort()
            return
        self._slicer.receive(data)

    def _feed(self, data: memoryview) -> None:
        """Parses a slice of the received bytes."""
        if self.transport.is_closing() or self._lingering:
            self._slicer.drop()
            return
        self._framing.count_received(len(data))
        self._parse(data)
        if self._framing.is_exceeded():
            self._refuse_header()

    def _parse(self, data: memoryview) -> None:
        """Parses bytes; an offer of another protocol is ignored."""
        self._unset_keepalive_if_required()
        while data:
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserUpgrade as exc:
                data = data[exc.args[0] :]
                resumed = http_upgrades.ResumedParser(
                    self.parser, self.headers, self
                )
                self.parser = resumed.parser
                resumed.read_head()
            except httptools.HttpParserError:
                self.send_400_response("")
                return
            else:
                return

    def on_message_begin(self) -> None:
        """Starts the timeout for receiving a request."""
        super().on_message_begin()
        self._header_bytes = 0
        self._receiving = True
        self._stop_timer()
        self._start_timer()

    def on_url(self, url: bytes) -> None:
        """Counts the bytes of the URL towards the header limit."""
        self._count_header_bytes(len(url))
        super().on_url(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Counts a header and checks the transfer coding."""
        self._slicer.count_call()
        self._count_header_bytes(len(name) + len(value))
        if name.lower() == b"transfer-encoding":
            self._check_transfer_coding(value)
        super().on_header(name, value)

    def on_headers_complete(self) -> None:
        """Passes the request on to the application."""
        super().on_headers_complete()
        self._receives_body = True
        if 0 < len(self.pipeline) < MAX_PIPELINED_REQUESTS:
            self.flow.resume_reading()

    def on_body(self, body: bytes) -> None:
        """Passes on a part of the body."""
        self._slicer.count_call()
        self._framing.count_body(len(body))
        super().on_body(body)

    def on_message_complete(self) -> None:
        """Stops the timeout for receiving a request."""
        if self.parser.should_upgrade():
            return
        self._framing.reset()
        self._receiving = False
        self._receives_body = False
        self._stop_timer()
        super().on_message_complete()

    def on_response_complete(self) -> None:
        """Ends an answer; the rest of an incomplete request is discarded."""
        if self._receiving and not self.transport.is_closing():
            self._linger()
            return
        super().on_response_complete()

    def pause_writing(self) -> None:
        """Starts the timeout for a caller that does not read."""
        super().pause_writing()
        self._unread_timer = self.loop.call_later(
            clock.seconds(UNREAD_TIMEOUT_MS), self._handle_unread_timeout
        )

    def resume_writing(self) -> None:
        """Stops the timeout for a caller that does not read."""
        if self._unread_timer is not None:
            self._unread_timer.cancel()
            self._unread_timer = None
        super().resume_writing()

    def send_400_response(self, msg: str) -> None:
        """Refuses bytes that are not a valid HTTP request."""
        self._refuse(
            errors.RequestError(
                "this is no HTTP/1.1 request", "see docs/callers.md"
            )
        )

    def _start_asgi_task(self, cycle, app) -> None:
        self._running = cycle
        self._task = self.loop.create_task(cycle.run_asgi(app))
        self._task.add_done_callback(self.tasks.discard)
        self.tasks.add(self._task)

    def _check_transfer_coding(self, value: bytes) -> None:
        """Refuses codings other than chunked.

        Their bodies would be forwarded still encoded, or not read at all.

        Raises:
            httptools.HttpParserError: The coding is not supported.
        """
        if value.strip().lower() == b"chunked":
            return
        self._refuse(
            errors.RequestError(
                f"the transfer coding {value.decode('latin-1')!r} is not known",
                "send the body with a length, or in chunks alone",
            )
        )
        raise httptools.HttpParserError

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if (
            self._header_bytes > MAX_HEADER_BYTES
            or len(self.headers) >= MAX_HEADERS
        ):
            self._refuse_header()
            raise httptools.HttpParserError

    def _refuse_header(self) -> None:
        self._refuse(
            errors.RequestError(
                f"the header has more than {MAX_HEADER_BYTES} bytes or "
                f"{MAX_HEADERS} lines",
                "send less in the header",
                431,
            )
        )

    def _refuse(self, error: errors.RequestError) -> None:
        """Closes the connection; sends the error if no answer is pending.

        The caller would take it for the answer to its first pending request.
        """
        if self.transport.is_closing():
            return
        logger.info("refused request", reason=str(error), peer=self._peer)
        if self._receives_body and not self.pipeline:
            self._end_unstarted_response()
        if self.cycle is None or self.cycle.response_complete:
            self.transport.write(_encode_refusal(error))
        self.transport.close()

    def _end_unstarted_response(self) -> None:
        """Lets a refusal be sent in place of the application's answer.

        The application still waits for the body if it has not answered.
        """
        if self.cycle is not None and not self.cycle.response_started:
            self.cycle.response_complete = True

    def _linger(self) -> None:
        """Closes the sending side and briefly discards what still arrives."""
        self._lingering = True
        self._stop_timer()
        self.transport.write_eof()
        self.flow.resume_reading()
        self._timer = self.loop.call_later(
            clock.seconds(LINGER_MS), self.transport.abort
        )

    def _start_timer(self) -> None:
        self._timer = self.loop.call_later(
            clock.seconds(RECEIVE_TIMEOUT_MS), self._handle_receive_timeout
        )

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _handle_receive_timeout(self) -> None:
        self._refuse(
            errors.RequestError(
                "the request did not arrive within "
                f"{RECEIVE_TIMEOUT_MS:.0f} ms",
                "send it whole, or close the connection",
                408,
            )
        )

    def _handle_unread_timeout(self) -> None:
        logger.info("closed connection with unread answer")
        self.transport.abort()


def _encode_refusal(error: errors.RequestError) -> bytes:
    body = orjson.dumps(
        {
            "kind": error.kind,
            "message": error.message,
            "remedy": error.remedy,
        }
    )
    outcome = messages.Outcome.NOT_RUN.value.encode()
    return b"".join(
        [
            httptools_impl.STATUS_LINE[error.status],
            b"content-type: application/json\r\n",
            b"content-length: %d\r\n" % len(body),
            b"%s: %s\r\n" % (messages.OUTCOME, outcome),
            b"connection: close\r\n\r\n",
            body,
        ]
    )


def _make_config(app: typing.Callable) -> uvicorn.Config:
    cfg = uvicorn.Config(
        _log_cancellation(app),
        http=HttpProtocol,
        ws="none",
        lifespan="off",
        interface="asgi3",
        log_config=None,
        access_log=False,
        proxy_headers=False,
        server_header=False,
        date_header=False,
        timeout_keep_alive=KEEP_ALIVE_MS // 1000,
    )
    cfg.load()
    return cfg


def _log_cancellation(app: typing.Callable) -> typing.Callable:
    """Wraps an application to log cancelled and failed requests.

    A cancelled request ends without an error: its caller has disconnected.
    """

    async def run(scope, receive, send) -> None:
        try:
            await app(scope, receive, send)
        except asyncio.CancelledError:
            logger.info("cancelled request", path=scope.get("path"))
        except Exception:
            logger.exception("request failed", path=scope.get("path"))
            raise

    return run


def _redirect_uvicorn_log() -> None:
    log = logging.getLogger("uvicorn.error")
    log.propagate = False
    log.setLevel(logging.WARNING)
    log.handlers = [_LogHandler()]


async def serve(
    app: typing.Callable,
    address: str,
    stop: anyio.Event,
    limits: Limits = Limits(),
) -> None:
    """Serves an application at one address until `stop` is set.

    Args:
        app: The ASGI application.
        address: Host and port to listen on.
        stop: Once set, no new connections are accepted and the server ends.
        limits: The maximum number of connections.
    """
    cfg = _make_config(app)
    _redirect_uvicorn_log()
    state = uvicorn_server.ServerState()
    peers: collections.Counter[str] = collections.Counter()

    turns = parse_turns.Turns()
    accepted = 0

    def make_protocol() -> HttpProtocol:
        nonlocal accepted
        accepted += 1
        protocol = HttpProtocol(cfg, state, {})
        protocol.peers = peers
        protocol.limits = limits
        protocol.turns = turns
        return protocol

    host, port = addresses.split(address)
    loop = asyncio.get_running_loop()
    with listening.report_bind_errors(address):
        server = await loop.create_server(
            make_protocol, host, port, backlog=listening.BACKLOG
        )
    try:
        await stop.wait()
        await accepting.accept_waiting(lambda: accepted)
        server.close()
        await _drain_connections(state)
    finally:
        server.close()
        for conn in list(state.connections):
            conn.transport.abort()


async def _drain_connections(state: uvicorn_server.ServerState) -> None:
    """Waits until the requests in flight have been answered."""
    for conn in list(state.connections):
        conn.shutdown()
    with contextlib.suppress(TimeoutError):
        with anyio.fail_after(clock.seconds(SHUTDOWN_GRACE_MS)):
            while state.connections:
                await anyio.sleep(clock.seconds(SHUTDOWN_POLL_MS))
            return
    logger.warning("closed connections in use", count=len(state.connections))
