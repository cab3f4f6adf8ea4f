"""A minimal HTTP client whose own cost hardly affects a load test."""

import asyncio
import collections
import dataclasses

import httptools


@dataclasses.dataclass
class Reply:
    """One complete response."""

    status: int = 0
    headers: dict[str, str] = dataclasses.field(default_factory=dict)
    body: bytes = b""


class _Connection(asyncio.Protocol):
    """One connection with at most one request at a time."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._parser: httptools.HttpResponseParser | None = None
        self._fut: asyncio.Future[Reply] | None = None
        self._reply = Reply()
        self.is_open = False

    def connection_made(self, transport):
        """Opens the connection for requests."""
        self._transport = transport
        self.is_open = True

    def connection_lost(self, exc):
        """Fails the pending request."""
        self.is_open = False
        if self._fut is not None and not self._fut.done():
            self._fut.set_exception(ConnectionError("connection lost"))

    def data_received(self, data):
        """Parses bytes of the response."""
        if self._parser is not None:
            self._parser.feed_data(data)

    def on_header(self, name, value):
        """Stores a header."""
        self._reply.headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body):
        """Appends a part of the body."""
        self._reply.body += body

    def on_message_complete(self):
        """Completes the request."""
        self._reply.status = self._parser.get_status_code()
        if not self._parser.should_keep_alive():
            self.close()
        if self._fut is not None and not self._fut.done():
            self._fut.set_result(self._reply)

    def send(self, raw: bytes) -> asyncio.Future[Reply]:
        """Sends a request and returns a future of its response."""
        self._reply = Reply()
        self._parser = httptools.HttpResponseParser(self)
        self._fut = asyncio.get_running_loop().create_future()
        self._transport.write(raw)
        return self._fut

    def close(self) -> None:
        """Closes the connection."""
        self.is_open = False
        self._transport.close()


class Client:
    """Sends requests and reuses idle connections by address."""

    def __init__(self):
        self._idle: dict[str, collections.deque[_Connection]] = {}

    async def _connect(self, address: str) -> _Connection:
        idle = self._idle.setdefault(address, collections.deque())
        while idle:
            connection = idle.pop()
            if connection.is_open:
                return connection
        host, port = address.rsplit(":", 1)
        _, connection = await asyncio.get_running_loop().create_connection(
            _Connection, host, int(port)
        )
        return connection

    async def request(
        self,
        address: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 10.0,
    ) -> Reply:
        """Sends a request and returns the complete response.

        Raises:
            OSError: The connection can't be opened or was lost.
            TimeoutError: No complete response arrived in time.
        """
        connection = await self._connect(address)
        lines = [f"{method} {path} HTTP/1.1", f"Host: {address}"]
        lines.append(f"Content-Length: {len(body)}")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        raw = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        try:
            async with asyncio.timeout(timeout_s):
                reply = await connection.send(raw)
        except BaseException:
            connection.close()
            raise
        if connection.is_open:
            self._idle[address].append(connection)
        return reply

    def close(self) -> None:
        """Closes the idle connections."""
        for idle in self._idle.values():
            for connection in idle:
                connection.close()
