"""The open connections to one address."""

import asyncio
import collections
import collections.abc

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel.backend_servers import pool_connection

# A backend server of the brief holds about 250 connections.
MAX_CONNECTIONS = 250
# A connection within a region opens in a few ms; a lost opening packet is
# sent again only after a second, and another connection is faster then.
CONNECT_MS = 500.0
# Unused connections are closed after this, but for the spare one.
IDLE_MS = 30_000.0
# Connections that are opened ahead of need.
SPARE = 1
# An answer is late after so many times the longest latency of late, within
# bounds; the upper one gives way where the other side is as slow as that.
LATE_FACTOR = 4.0
SLOW_FACTOR = 1.5
LEAST_LATE_MS = 250.0
MOST_LATE_MS = 1000.0
PEAK_DECAY = 0.9


class AddressPool:
    """Lends connections to one address, the last used one first.

    Connections that were last heard before an answer went missing are
    replaced, not tried one after the other: what lost track of one of them
    may have lost track of all.
    """

    def __init__(
        self,
        address: str,
        clk: clock.Clock,
        share: buffers.Share,
        on_all_ended: collections.abc.Callable[[], None],
    ):
        host, port = address.rsplit(":", 1)
        self._host = host
        self._port = int(port)
        self._clock = clk
        self._on_all_ended = on_all_ended
        self._share = share
        self._idle: collections.deque[pool_connection.Connection] = (
            collections.deque()
        )
        self._waiting: collections.deque[asyncio.Future[None]] = (
            collections.deque()
        )
        self._open: set[pool_connection.Connection] = set()
        self._opening = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._peak_ms = 0.0
        self.used_at = clk.now()

    def late_ms(self) -> clock.Millis:
        """Returns after how long an answer is missing."""
        if self._peak_ms == 0.0:
            return MOST_LATE_MS
        late_ms = min(LATE_FACTOR * self._peak_ms, MOST_LATE_MS)
        return max(LEAST_LATE_MS, late_ms, SLOW_FACTOR * self._peak_ms)

    def note_latency(self, latency_ms: clock.Millis) -> None:
        """Takes the latency of a whole answer into account."""
        self._peak_ms = max(latency_ms, PEAK_DECAY * self._peak_ms)

    def count(self) -> int:
        """Returns how many connections are open or being opened."""
        return len(self._open) + self._opening

    def count_idle(self) -> int:
        """Returns how many connections are unused."""
        return len(self._idle)

    async def borrow(
        self, deadline: clock.Millis, heard_after: clock.Millis
    ) -> pool_connection.Connection:
        """Returns a connection for one request.

        Args:
            deadline: When to give up with a TimeoutError.
            heard_after: Connections that were last heard before this are
                closed and not used.
        """
        self.used_at = self._clock.now()
        while True:
            conn = self._take_idle(heard_after)
            if conn is None and self.count() < MAX_CONNECTIONS:
                conn = await self._connect(deadline)
            if conn is not None:
                self._open_ahead()
                return conn
            await self._wait(deadline)

    def _take_idle(
        self, heard_after: clock.Millis
    ) -> pool_connection.Connection | None:
        while self._idle:
            conn = self._idle.pop()
            if conn.is_usable() and conn.heard_at >= heard_after:
                return conn
            conn.close()
        return None

    def give_back(self, conn: pool_connection.Connection) -> None:
        """Takes a connection back whose answer was whole."""
        if conn.is_usable():
            self._idle.append(conn)
        self._wake()

    def replace_older(self, than: clock.Millis) -> None:
        """Closes the unused connections that were last heard before a time."""
        for conn in list(self._idle):
            if conn.heard_at <= than:
                self._idle.remove(conn)
                conn.close()
        self._open_ahead()

    def expire(self) -> None:
        """Closes what has been unused for long."""
        limit = self._clock.now() - IDLE_MS
        while self._idle and self._idle[0].heard_at < limit:
            self._idle.popleft().close()

    def close(self) -> None:
        """Closes all connections."""
        for task in list(self._tasks):
            task.cancel()
        for conn in list(self._open):
            conn.close()

    async def _connect(
        self, deadline: clock.Millis
    ) -> pool_connection.Connection:
        left_ms = min(CONNECT_MS, deadline - self._clock.now())
        loop = asyncio.get_running_loop()
        self._opening += 1
        try:
            async with asyncio.timeout(clock.seconds(max(0.0, left_ms))):
                _, conn = await loop.create_connection(
                    self._make_connection, self._host, self._port
                )
        finally:
            self._opening -= 1
            self._wake()
        self._open.add(conn)
        return conn

    def _make_connection(self) -> pool_connection.Connection:
        return pool_connection.Connection(
            f"{self._host}:{self._port}",
            self._clock,
            self._forget,
            self._share,
        )

    def _forget(self, conn: pool_connection.Connection) -> None:
        self._open.discard(conn)
        if conn in self._idle:
            self._idle.remove(conn)
        self._wake()
        # One that is closed for not being used leaves others open.
        if conn.was_ended and not self._open:
            self._on_all_ended()

    def _open_ahead(self) -> None:
        spare = len(self._idle) + len(self._tasks)
        if spare >= SPARE or self.count() >= MAX_CONNECTIONS:
            return
        task = asyncio.get_running_loop().create_task(self._open_spare())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _open_spare(self) -> None:
        try:
            conn = await self._connect(self._clock.now() + CONNECT_MS)
        except OSError:
            # The next request finds out by itself, and says so.
            return
        # The other end of the queue: a proven connection goes first.
        self._idle.appendleft(conn)
        self._wake()

    async def _wait(self, deadline: clock.Millis) -> None:
        left_ms = deadline - self._clock.now()
        waiter = asyncio.get_running_loop().create_future()
        self._waiting.append(waiter)
        try:
            async with asyncio.timeout(clock.seconds(max(0.0, left_ms))):
                await waiter
        except BaseException:
            if waiter.done() and not waiter.cancelled():
                self._wake()
            raise
        finally:
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def _wake(self) -> None:
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
