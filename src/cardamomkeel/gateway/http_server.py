"""Serves HTTP/1.1 to callers, and stops gracefully."""

import asyncio
import collections.abc

from cardamomkeel import accepting
from cardamomkeel import clock
from cardamomkeel import listening
from cardamomkeel import parse_turns
from cardamomkeel.gateway import caller_connection
from cardamomkeel.gateway import held_memory
from cardamomkeel.gateway import messages
from cardamomkeel.log_lines import limits as log_limits
from cardamomkeel.policy import body_limits as body_limits_lib
from cardamomkeel.policy import memory_pressure
from cardamomkeel.routes import document as document_lib
from cardamomkeel.settings import addresses

CLOSE_CHECK_INTERVAL_MS = 20.0
# How long after it stopped to listen a stopping process waits for the rest of a
# request.
LAST_REQUEST_MS = 500.0
# How long the last responses of a stopping process may take to be sent.
LAST_RESPONSES_MS = 150.0


class HttpServer:
    """Serves one handler at one address.

    Attributes:
        handler: Called with each complete request; returns the response.
        limits: Returns the current limits on requests.
        clk: The clock.
        connections: The open connections.
        memory: Counts the bytes that the connections hold.
        body_copies: How often a body is held while it is handled.
        turns: Where connections with costly bytes wait to be parsed.
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
        memory: held_memory.HeldMemory | None = None,
        max_connections: int = 0,
        body_copies: int = 1,
        body_limits: body_limits_lib.BodyLimits | None = None,
    ):
        """Creates a server that does not listen yet.

        Args:
            handler: Handles the requests.
            clk: The clock.
            limits: Returns the current limits on requests.
            memory: The memory of the process; None for no limit.
            max_connections: How many connections may be open; 0 for no limit.
            body_copies: How often a body is held while it is handled.
            body_limits: Limits bodies by the kind of their request, below the
                limit for all; None for that limit alone.
        """
        self.handler = handler
        self.limits = limits
        self.clk = clk
        self.rejection_limit = log_limits.Limit("rejected invalid request", clk)
        self.connections: set[caller_connection.Connection] = set()
        self.memory = memory or held_memory.HeldMemory(
            held_memory.NO_LIMIT, clk
        )
        self.body_copies = body_copies
        self._body_limits = body_limits
        self.turns = parse_turns.Turns()
        self._max_connections = max_connections
        self.in_flight = 0
        self.stopping = False
        self.takes_no_more = False
        self._accepted = 0
        self._server: asyncio.Server | None = None

    def _make_connection(self) -> caller_connection.Connection:
        self._accepted += 1
        return caller_connection.Connection(self)

    def get_body_limit(self, method: str, target: str) -> int:
        """Returns how many bytes the body of a request may have."""
        limit = self.limits().body_bytes
        if self._body_limits is None:
            return limit
        path = target.partition("?")[0]
        return min(limit, self._body_limits.get_limit(method, path))

    def admit(self, conn: caller_connection.Connection) -> bool:
        """Registers a connection; one that stood still may be ended for it.

        Returns:
            False if there are too many connections, all of them in use.
        """
        is_full = 0 < self._max_connections <= len(self.connections)
        if is_full and not self._end_one():
            return False
        self.connections.add(conn)
        return True

    def _end_one(self) -> bool:
        """Ends an unused connection, else one that has stood still."""
        replaceable = [c for c in self.connections if c.is_replaceable()]
        return (
            self.memory.end_stillest([c for c in replaceable if c.is_idle()])
            or self.memory.end_stillest(
                [c for c in replaceable if not c.is_taking_answer()]
            )
            or self.memory.end_stillest(
                replaceable, memory_pressure.MIN_STILL_MS
            )
        )

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
