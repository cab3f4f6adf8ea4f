"""The pool of connections to one address."""

import asyncio
import collections
import collections.abc

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel.backend_servers import pool_connection
from cardamomkeel.routing import messages
from cardamomkeel.settings import addresses

# A backend server sustains about 250 connections.
MAX_CONNECTIONS = 250
# A connection within a region opens in a few ms. TCP sends a lost SYN again
# only after a second; opening another connection is faster.
CONNECT_TIMEOUT_MS = 500.0
# Unused connections are closed after this time, except for the spare one.
MAX_IDLE_MS = 30_000.0
# Unused connections that are kept ready.
SPARE_CONNECTIONS = 1
# An answer is late after LATE_FACTOR times the recent peak latency, clamped to
# MIN_LATE_MS and MAX_LATE_MS. If SLOW_FACTOR times the peak is longer, it
# applies instead, since a peer may usually need more than MAX_LATE_MS.
LATE_FACTOR = 4.0
SLOW_FACTOR = 1.5
MIN_LATE_MS = 250.0
MAX_LATE_MS = 1000.0
PEAK_DECAY_FACTOR = 0.9


class AddressPool:
    """Connections to one address; the most recently used is acquired first.

    Connections that last received data before a request went unanswered are
    replaced and not tried one after the other: a failure on the network path
    that dropped one of them may have dropped all.
    """

    def __init__(
        self,
        address: str,
        clk: clock.Clock,
        share: buffers.Share,
        on_all_closed: collections.abc.Callable[[], None],
    ):
        """Creates an empty pool.

        Raises:
            ValueError: The address is malformed.
        """
        self._host, self._port = addresses.split(address)
        self._clock = clk
        self._on_all_closed = on_all_closed
        self._share = share
        self._idle: collections.deque[pool_connection.Connection] = (
            collections.deque()
        )
        self._waiters: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._connections: set[pool_connection.Connection] = set()
        self._opening_count = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._peak_ms = 0.0
        self.used_at = clk.now()

    def late_after_ms(self) -> clock.Millis:
        """Returns after how long an answer counts as late."""
        if self._peak_ms == 0.0:
            return MAX_LATE_MS
        late_after_ms = min(LATE_FACTOR * self._peak_ms, MAX_LATE_MS)
        return max(MIN_LATE_MS, late_after_ms, SLOW_FACTOR * self._peak_ms)

    def note_latency(self, latency_ms: clock.Millis) -> None:
        """Updates the peak latency with that of a complete answer."""
        self._peak_ms = max(latency_ms, PEAK_DECAY_FACTOR * self._peak_ms)

    def count(self) -> int:
        """Returns how many connections are open or being opened."""
        return len(self._connections) + self._opening_count

    def count_idle(self) -> int:
        """Returns how many connections are unused."""
        return len(self._idle)

    async def acquire(
        self, deadline: clock.Millis, received_after: clock.Millis
    ) -> pool_connection.Connection:
        """Returns a connection for one request.

        Args:
            deadline: When to give up with a TimeoutError.
            received_after: Connections that last received data before this
                time are closed and not used.
        """
        self.used_at = self._clock.now()
        while True:
            conn = self._pop_idle(received_after)
            if conn is None and self.count() < MAX_CONNECTIONS:
                conn = await self._connect(deadline)
            if conn is not None:
                self._ensure_spare()
                return conn
            await self._wait(deadline)

    def _pop_idle(
        self, received_after: clock.Millis
    ) -> pool_connection.Connection | None:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable() and conn.received_at >= received_after:
                return conn
            conn.close()
        return None

    def release(self, conn: pool_connection.Connection) -> None:
        """Returns a connection to the pool after a complete answer."""
        if conn.is_usable():
            self._idle.append(conn)
        self._wake_waiter()

    def replace_older(self, received_until: clock.Millis) -> None:
        """Closes unused connections that received nothing after a time."""
        for conn in list(self._idle):
            if conn.received_at <= received_until:
                self._idle.remove(conn)
                conn.close()
        self._ensure_spare()

    def expire(self) -> None:
        """Closes connections that have been unused for too long."""
        limit = self._clock.now() - MAX_IDLE_MS
        while self._idle and self._idle[0].received_at < limit:
            self._idle.popleft().close()

    def close(self) -> None:
        """Closes all connections."""
        for task in list(self._tasks):
            task.cancel()
        for conn in list(self._connections):
            conn.close()

    async def _connect(
        self, deadline: clock.Millis
    ) -> pool_connection.Connection:
        remaining_ms = min(CONNECT_TIMEOUT_MS, deadline - self._clock.now())
        loop = asyncio.get_running_loop()
        self._opening_count += 1
        try:
            async with asyncio.timeout(clock.seconds(max(0.0, remaining_ms))):
                _, conn = await loop.create_connection(
                    self._make_connection, self._host, self._port
                )
        finally:
            self._opening_count -= 1
            self._wake_waiter()
        self._connections.add(conn)
        return conn

    def _make_connection(self) -> pool_connection.Connection:
        return pool_connection.Connection(
            f"{self._host}:{self._port}",
            self._clock,
            self._handle_closed,
            self._share,
            messages.REQUEST_ID,
        )

    def _handle_closed(self, conn: pool_connection.Connection) -> None:
        self._connections.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
        self._wake_waiter()
        # A peer that closes an idle connection leaves others open; one that
        # restarts closes all.
        if conn.closed_by_peer and not self._connections:
            self._on_all_closed()

    def _ensure_spare(self) -> None:
        spare = len(self._idle) + len(self._tasks)
        if spare >= SPARE_CONNECTIONS or self.count() >= MAX_CONNECTIONS:
            return
        task = asyncio.get_running_loop().create_task(self._open_spare())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_spare(self) -> None:
        try:
            conn = await self._connect(self._clock.now() + CONNECT_TIMEOUT_MS)
        except OSError:
            # The next request tries to connect and reports the failure.
            return
        # Added at the left end, since connections are taken from the right:
        # those that have received answers are used first.
        self._idle.appendleft(conn)
        self._wake_waiter()

    async def _wait(self, deadline: clock.Millis) -> None:
        remaining_ms = deadline - self._clock.now()
        waiter = asyncio.get_running_loop().create_future()
        self._waiters.append(waiter)
        try:
            async with asyncio.timeout(clock.seconds(max(0.0, remaining_ms))):
                await waiter
        except BaseException:
            if waiter.done() and not waiter.cancelled():
                self._wake_waiter()
            raise
        finally:
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def _wake_waiter(self) -> None:
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
