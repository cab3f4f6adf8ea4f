"""A backend server that answers with bytes of a test's own."""

import asyncio
import contextlib
import socket
import threading

HOST = "127.0.0.1"
# Small, so that what the server has written was mostly received.
SEND_BUFFER_BYTES = 64 * 1024
# Headers that return the id of a request: the platform's, the product's own.
ID_HEADERS = ("request-id", "cardamomkeel-request-id")
MAX_FLOOD_BYTES = 64 * 1024 * 1024
PIECE_BYTES = 64 * 1024


class Request:
    """A request that the server received.

    Attributes:
        number: The number of the request on its connection, from 1.
        path: The path.
        request_id: The id; empty if it has none.
        id_name: The header of the id.
    """

    def __init__(self, number, head):
        lines = head.decode("latin-1").split("\r\n")
        self.number = number
        self.path = lines[0].split()[1]
        self.headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        self.id_name = next(
            (n for n in ID_HEADERS if n in self.headers), ID_HEADERS[0]
        )
        self.request_id = self.headers.get(self.id_name, "")

    def make_answer(self, body=None, status=200, with_id=True, more=""):
        """Returns a sealed answer; its body is the path of the request."""
        body = self.path if body is None else body
        lines = [
            f"HTTP/1.1 {status} X",
            f"Content-Length: {len(body)}",
            f"Response-Seal: {self.request_id}",
        ]
        if with_id and self.request_id:
            lines.append(f"{self.id_name}: {self.request_id}")
        return ("\r\n".join(lines) + f"\r\n{more}\r\n{body}").encode()


class RawServer:
    """Serves connections on an event loop of its own.

    Attributes:
        address: Host and port.
        instance: The id of this instance, as the platform's servers have one.
        slots: How many requests it runs at a time.
        requests: The received requests, without health checks.
        written: The bytes that were written to each connection.
        ended: How many connections have ended.
        health: The bytes that answer health checks; None for a good answer.
    """

    def __init__(self, respond, instance="i-raw", slots=3):
        """Starts the server.

        Args:
            respond: Coroutine that answers a request; called with the request
                and a function that writes bytes.
            instance: The id of this instance.
            slots: How many requests it runs at a time.
        """
        self._respond = respond
        self.instance = instance
        self.slots = slots
        self.requests = []
        self.written = []
        self.ended = 0
        self.health = None
        self._tasks = set()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        self._server = self._do(self._start())
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    def _do(self, job):
        return asyncio.run_coroutine_threadsafe(job, self._loop).result(30)

    async def _start(self):
        return await asyncio.start_server(self._serve, HOST, 0)

    async def _serve(self, reader, writer):
        self._tasks.add(asyncio.current_task())
        index = len(self.written)
        self.written.append(0)
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)

        async def write(data):
            writer.write(data)
            await writer.drain()
            self.written[index] += len(data)

        with contextlib.suppress(
            ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            number = 0
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                req = Request(number + 1, head)
                length = int(req.headers.get("content-length", 0))
                await reader.readexactly(length)
                if req.path == "/health" and self.health is not None:
                    await write(self.health)
                    continue
                if req.path == "/health":
                    more = f"Instance-Id: {self.instance}\r\n"
                    await write(req.make_answer("", more=more))
                    continue
                number += 1
                self.requests.append(req)
                await self._respond(req, write)
        self.ended += 1
        writer.close()

    def close(self):
        """Ends all connections and the loop."""

        async def stop():
            self._server.close()
            for task in self._tasks:
                task.cancel()
            await asyncio.gather(*self._tasks, return_exceptions=True)

        self._do(stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()


async def flood(write, start, piece, max_bytes=MAX_FLOOD_BYTES):
    """Writes a start and then the same piece until the peer closes."""
    await write(start)
    piece = piece * max(1, PIECE_BYTES // len(piece))
    for _ in range(max_bytes // len(piece)):
        await write(piece)
