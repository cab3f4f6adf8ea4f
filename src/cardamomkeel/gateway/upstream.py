"""Pools connections to targets, which stay open between requests."""

import asyncio
import collections
import dataclasses
import socket

from returns import result

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.gateway import upstream_connection
from cardamomkeel.settings import addresses

# A target that accepts no connection within this time is unreachable. The same
# limit applies to the answer to a probe.
CONNECT_TIMEOUT_MS = 250.0
# TCP closes a connection whose data is not acknowledged within this time.
USER_TIMEOUT_MS = 1500
# An unused connection is closed this long before the target would close it.
IDLE_MARGIN_MS = 1500.0
# How long unused connections stay open if the target sends no Keep-Alive.
DEFAULT_IDLE_MS = 4000.0
# A request that may not be sent twice uses a connection that received data
# within this time: a dead connection looks like a slow target.
RECENT_MS = 2000.0
# Unused connections to one target that stay open.
MAX_UNUSED_CONNECTIONS = 8


@dataclasses.dataclass(frozen=True)
class ConnectError(errors.UnavailableError):
    """A connection to a target failed to open; nothing was sent.

    Attributes:
        refused: Whether the target refused it; False for a timeout.
    """

    refused: bool = False


class UpstreamPool:
    """Unused connections to all targets, by address."""

    def __init__(
        self,
        clk: clock.Clock,
        id_header: bytes,
        leaving_header: bytes,
        max_body_bytes: int,
        share: buffers.Share,
    ):
        """Creates an empty pool.

        Args:
            clk: The clock.
            id_header: The header in which an answer returns the request id,
                in lower case.
            leaving_header: The header of targets that leave, in lower case.
            max_body_bytes: Length limit of the body of an answer.
            share: Limits the memory for the bodies of all answers.
        """
        self._clock = clk
        self._share = share
        self._id_header = id_header
        self._leaving_header = leaving_header
        self._max_body_bytes = max_body_bytes
        self._unused: dict[
            str, collections.deque[upstream_connection.TargetConnection]
        ] = collections.defaultdict(collections.deque)

    def _is_reusable(
        self, conn: upstream_connection.TargetConnection, recently_used: bool
    ) -> bool:
        if not conn.is_usable():
            return False
        unused_ms = self._clock.now() - conn.received_at
        kept_ms = DEFAULT_IDLE_MS
        if conn.idle_ms is not None:
            kept_ms = max(conn.idle_ms - IDLE_MARGIN_MS, conn.idle_ms / 2)
        return unused_ms < (
            min(kept_ms, RECENT_MS) if recently_used else kept_ms
        )

    def try_acquire(
        self, address: str, recently_used: bool
    ) -> upstream_connection.TargetConnection | None:
        """Takes an unused connection out of the pool, or returns None.

        Args:
            address: Host and port of the target.
            recently_used: Whether the connection must have received data
                lately.
        """
        connections = self._unused.get(address)
        while connections:
            conn = connections.pop()
            if self._is_reusable(conn, recently_used):
                return conn
            conn.close()
        return None

    async def open(
        self, address: str, timeout_ms: clock.Millis
    ) -> result.Result[upstream_connection.TargetConnection, ConnectError]:
        """Opens a connection.

        Args:
            address: Host and port of the target.
            timeout_ms: Limit on the time to open, `CONNECT_TIMEOUT_MS` at most.
        """
        try:
            host, port = addresses.split(address)
        except ValueError as exc:
            return result.Failure(
                ConnectError(str(exc), "see what announces this target")
            )
        loop = asyncio.get_running_loop()
        limit_s = clock.seconds(min(CONNECT_TIMEOUT_MS, timeout_ms))
        try:
            async with asyncio.timeout(limit_s):
                transport, conn = await loop.create_connection(
                    lambda: upstream_connection.TargetConnection(
                        address,
                        self._clock,
                        self._note_closed,
                        self._id_header,
                        self._leaving_header,
                        self._max_body_bytes,
                        self._share,
                    ),
                    host,
                    port,
                )
        except TimeoutError:
            return result.Failure(
                ConnectError(
                    f"{address} did not accept a connection",
                    "see that the target runs and can be reached",
                )
            )
        except OSError as exc:
            refused = isinstance(exc, ConnectionError)
            return result.Failure(
                ConnectError(
                    f"no connection to {address}: {exc!r}",
                    "see that the target runs and can be reached",
                    refused=refused,
                )
            )
        _set_user_timeout(transport)
        return result.Success(conn)

    def release(self, conn: upstream_connection.TargetConnection) -> None:
        """Returns a connection to the pool, or closes it if it is unusable."""
        if not conn.is_usable():
            conn.close()
            return
        connections = self._unused[conn.address]
        connections.append(conn)
        while len(connections) > MAX_UNUSED_CONNECTIONS:
            connections.popleft().close()

    def _note_closed(self, conn: upstream_connection.TargetConnection) -> None:
        connections = self._unused.get(conn.address)
        if connections is not None and conn in connections:
            connections.remove(conn)

    def close_unused(self, address: str) -> None:
        """Closes the unused connections to an address."""
        for conn in self._unused.pop(address, ()):
            conn.close()

    def expire(self) -> None:
        """Closes unused connections that their targets would close soon."""
        for address, connections in list(self._unused.items()):
            for conn in [
                c for c in connections if not self._is_reusable(c, False)
            ]:
                connections.remove(conn)
                conn.close()
            if not connections:
                del self._unused[address]

    def close(self) -> None:
        """Closes all unused connections."""
        for address in list(self._unused):
            self.close_unused(address)


def _set_user_timeout(transport: asyncio.BaseTransport) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(
            socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS
        )
