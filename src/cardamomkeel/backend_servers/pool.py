"""Sends requests over pooled HTTP/1.1 connections."""

import asyncio
import collections.abc
import dataclasses
import functools
import itertools
import secrets

import anyio
import loguru
from returns import result

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel import http_headers
from cardamomkeel.backend_servers import body_stream
from cardamomkeel.backend_servers import client
from cardamomkeel.backend_servers import pool_address
from cardamomkeel.backend_servers import pool_connection
from cardamomkeel.routing import messages

# A request that may run only once, and a retry, are sent over connections that
# received data within this time.
RECENTLY_ACTIVE_MS = 250.0
# A connection to a backend server that gives no answer for this long counts as
# unresponsive.
UNRESPONSIVE_MS = 500.0
# The same for a connection to another entry, which has to detect its own
# unresponsive connections first.
UNRESPONSIVE_ENTRY_MS = 1000.0
# A connection that was opened this recently can't be unresponsive yet.
NEW_CONNECTION_MS = 50.0
# How long the peer may take to close the connection of a cancelled request.
CANCEL_TIMEOUT_MS = 100.0
EXPIRE_EVERY_MS = 5000.0
# Pools without connections that were unused for this long are removed.
UNUSED_ADDRESS_MS = 120_000.0

logger = loguru.logger


class PoolClient:
    """A client that keeps connections open and opens spare ones in advance.

    Attributes:
        on_all_closed: Called with an address that closed the last connection
            to it while unused, as a restarting process does.
        is_retried: Returns whether failed requests of a service, given by
            name, are sent again.
    """

    def __init__(
        self,
        reach: dict[str, str],
        clk: clock.Clock,
        unresponsive_ms: clock.Millis = UNRESPONSIVE_MS,
        share: buffers.Share | None = None,
    ):
        self._reach = reach
        self._unresponsive_ms = unresponsive_ms
        self._clock = clk
        self._share = share or buffers.unlimited()
        self._streams: set[asyncio.Task[None]] = set()
        self._pools: dict[str, pool_address.AddressPool] = {}
        self.on_all_closed: collections.abc.Callable[[str], None] = _do_nothing
        self.is_retried: collections.abc.Callable[[str], bool] = _always
        self._expire_at = clk.now() + EXPIRE_EVERY_MS
        # Ids of requests differ from those that another process has sent.
        self._id_prefix = secrets.token_hex(4).encode()
        self._numbers = itertools.count(1)

    async def send(
        self,
        address: str,
        req: messages.Request,
        headers: messages.Headers,
        deadline: clock.Millis,
        guard: client.Guard = client.NO_GUARD,
    ) -> result.Result[messages.Answer, client.SendFailure]:
        """Sends a request and returns its answer, complete or as a stream."""
        if deadline <= self._clock.now():
            return _not_sent("no time is left")
        request_id = b"%s-%d" % (self._id_prefix, next(self._numbers))
        head = encode_head(
            address, req, [*headers, (messages.REQUEST_ID, request_id)]
        )
        if head is None:
            return _not_sent("the path or a header can't be passed on")
        try:
            pool = self._pool(address)
        except ValueError as exc:
            return _not_sent(str(exc))
        received_after = float("-inf")
        if req.is_retry or not req.idempotent:
            received_after = self._clock.now() - RECENTLY_ACTIVE_MS
        try:
            conn = await pool.acquire(deadline, received_after)
        except TimeoutError:
            return _not_sent("no connection was opened in time")
        except OSError as exc:
            return _not_sent(repr(exc))
        if not guard.may_send():
            pool.release(conn)
            return _not_sent("the lease ran out before it was sent")
        conn.expect(request_id)
        return await self._exchange(pool, conn, req, head, deadline, guard)

    async def _exchange(
        self,
        pool: pool_address.AddressPool,
        conn: pool_connection.Connection,
        req: messages.Request,
        head: bytes,
        deadline: clock.Millis,
        guard: client.Guard,
    ) -> result.Result[messages.Answer, client.SendFailure]:
        started = self._clock.now()
        answer = conn.request(head, req.body, req.method == "HEAD")
        # Without a retry, an early failure gains nothing: the peer may only be
        # slow.
        fails_early = req.idempotent and self.is_retried(req.service)
        timers = self._set_timers(pool, conn, fails_early, deadline)
        try:
            got = await answer
        except pool_connection.ProtocolError as exc:
            return _failed(client.FailureKind.BROKEN, str(exc))
        except TimeoutError as exc:
            if await self._cancel(conn, guard):
                # The connection works, so the peer is slow.
                pool.note_latency(self._clock.now() - started)
            return _failed(client.FailureKind.TIMED_OUT, str(exc))
        except asyncio.CancelledError:
            _discard_answer(answer)
            await self._cancel(conn, guard)
            raise
        finally:
            for timer in timers:
                timer.cancel()
        pool.note_latency(self._clock.now() - started)
        got = _remove_request_id(got)
        if got.stream is None:
            pool.release(conn)
        else:
            job = self._finish_stream(pool, conn, got.stream, deadline, guard)
            task = asyncio.get_running_loop().create_task(job)
            self._streams.add(task)
            task.add_done_callback(self._streams.discard)
        return result.Success(got)

    async def _finish_stream(
        self,
        pool: pool_address.AddressPool,
        conn: pool_connection.Connection,
        stream: body_stream.BodyStream,
        deadline: clock.Millis,
        guard: client.Guard,
    ) -> None:
        """Waits for the end of a stream, then frees its connection."""
        remaining_ms = max(0.0, deadline - self._clock.now())
        with anyio.move_on_after(clock.seconds(remaining_ms)):
            await stream.wait_end()
        kind = client.FailureKind.TIMED_OUT
        if stream.is_blocked_by_reader():
            kind = client.FailureKind.GIVEN_UP
        stream.fail(kind, "the deadline passed before the last byte")
        if stream.failure is None:
            pool.release(conn)
        elif stream.failure.kind is not client.FailureKind.BROKEN:
            await self._cancel(conn, guard)
        guard.note_stream_end(stream.failure)

    def _set_timers(
        self,
        pool: pool_address.AddressPool,
        conn: pool_connection.Connection,
        fails_early: bool,
        deadline: clock.Millis,
    ) -> list[asyncio.TimerHandle]:
        now = self._clock.now()
        loop = asyncio.get_running_loop()
        delay_s = clock.seconds(max(0.0, deadline - now))
        timers = [loop.call_later(delay_s, conn.time_out, "no answer in time")]
        late_after_ms = pool.late_after_ms()
        if now + late_after_ms < deadline:
            delay_s = clock.seconds(late_after_ms)
            timers.append(
                loop.call_later(
                    delay_s, _replace_older_if_unanswered, pool, conn, now
                )
            )
        unresponsive_ms = max(late_after_ms, self._unresponsive_ms)
        # On a new connection, a missing answer is due to the peer.
        is_new = now - conn.opened_at < NEW_CONNECTION_MS
        if not is_new and now + unresponsive_ms < deadline:
            delay_s = clock.seconds(unresponsive_ms)
            timers.append(
                loop.call_later(
                    delay_s, self._replace_unresponsive, conn, now, fails_early
                )
            )
        return timers

    def _replace_unresponsive(
        self,
        conn: pool_connection.Connection,
        sent_at: clock.Millis,
        fails_early: bool,
    ) -> None:
        """Replaces all connections as old as one that got no answer in time.

        A failure on the network path that dropped one connection may also have
        dropped connections to other addresses. They are all replaced now, so
        that retries don't fail on each in turn.
        """
        if conn.has_received():
            return
        logger.warning("connection is unresponsive", address=conn.address)
        for pool in self._pools.values():
            pool.replace_older(sent_at)
        if fails_early:
            conn.time_out("the connection is silent")

    async def _cancel(
        self, conn: pool_connection.Connection, guard: client.Guard
    ) -> bool:
        """Cancels a request by closing its connection.

        Returns:
            Whether the peer closed the connection as well in time.
        """
        closing = asyncio.ensure_future(conn.close_and_wait(CANCEL_TIMEOUT_MS))
        try:
            with anyio.CancelScope(shield=True):
                is_closed = await asyncio.shield(closing)
            if is_closed:
                guard.note_cancelled()
            return is_closed
        except asyncio.CancelledError:
            conn.close()
            raise

    def _pool(self, address: str) -> pool_address.AddressPool:
        now = self._clock.now()
        if now >= self._expire_at:
            self._expire_at = now + EXPIRE_EVERY_MS
            self._expire(now)
        pool = self._pools.get(address)
        if pool is None:
            pool = pool_address.AddressPool(
                self._reach.get(address, address),
                self._clock,
                self._share,
                functools.partial(self._note_all_closed, address),
            )
            self._pools[address] = pool
        return pool

    def _note_all_closed(self, address: str) -> None:
        self.on_all_closed(address)

    def _expire(self, now: clock.Millis) -> None:
        for address, pool in list(self._pools.items()):
            pool.expire()
            if now - pool.used_at > UNUSED_ADDRESS_MS and not pool.count():
                del self._pools[address]

    def count_connections(self) -> dict[str, int]:
        """Returns how many connections are open, by address."""
        return {address: p.count() for address, p in self._pools.items()}

    async def close(self) -> None:
        """Closes all connections."""
        for task in list(self._streams):
            task.cancel()
        for pool in self._pools.values():
            pool.close()


def _remove_request_id(answer: messages.Answer) -> messages.Answer:
    """Returns an answer without the id, which no caller has sent."""
    headers = [
        pair
        for pair in answer.headers
        if pair[0].lower() != messages.REQUEST_ID
    ]
    return dataclasses.replace(answer, headers=headers)


def _do_nothing(address: str) -> None:
    """Ignores that all connections to an address have been closed."""


def _always(_service: str) -> bool:
    """Returns True: failed requests of every service are sent again."""
    return True


def _discard_answer(answer: asyncio.Future[messages.Answer]) -> None:
    """Closes the stream of an answer whose reader was cancelled."""
    if answer.cancelled() or not answer.done() or answer.exception():
        return
    if answer.result().stream is not None:
        answer.result().stream.close()


def _replace_older_if_unanswered(
    pool: pool_address.AddressPool,
    conn: pool_connection.Connection,
    sent_at: clock.Millis,
) -> None:
    """Replaces older connections to the address if there is no answer yet."""
    if not conn.has_received():
        pool.replace_older(sent_at)


def encode_head(
    address: str, req: messages.Request, headers: messages.Headers
) -> bytes | None:
    """Returns the head of a request, or None if it can't be sent safely."""
    if not http_headers.is_safe_path(req.path):
        return None
    lines = [
        f"{req.method} {req.path} HTTP/1.1\r\nhost: {address}\r\n".encode()
    ]
    for name, value in headers:
        if not http_headers.is_safe_header(name, value):
            return None
        lines.append(b"%s: %s\r\n" % (name, value))
    if req.body or req.method not in ("GET", "HEAD"):
        lines.append(b"content-length: %d\r\n" % len(req.body))
    lines.append(b"\r\n")
    return b"".join(lines)


def _not_sent(
    message: str,
) -> result.Result[messages.Answer, client.SendFailure]:
    return _failed(client.FailureKind.NOT_SENT, message)


def _failed(
    kind: client.FailureKind, message: str
) -> result.Result[messages.Answer, client.SendFailure]:
    return result.Failure(client.SendFailure(kind, message))
