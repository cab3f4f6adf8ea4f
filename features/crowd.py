"""Callers that send more than they may and keep their connections open."""

import asyncio
import dataclasses
import itertools
import threading

PIECE_BYTES = 65_536
MB = 1_000_000
# The crowd has come to rest once it has sent nothing for this time.
REST_S = 1.5
LONGEST_S = 40.0
# Every sixth caller sends its request whole.
COMPLETE_EVERY = 6


@dataclasses.dataclass(frozen=True)
class Load:
    """What each caller of a crowd sends.

    Attributes:
        announced: The length in the head; 0 for a body in chunks.
        size: How many bytes of the body are sent.
        chunk: The size of a chunk, where there are any.
        piece: How many bytes are written at once; 0 for all of them.
        is_endless: Whether the body goes on until the connection ends.
    """

    announced: int = 0
    size: int = 0
    chunk: int = 0
    piece: int = 0
    is_endless: bool = False

    def make_head(self, request_line: str) -> bytes:
        """Returns the head of the request."""
        framing = "Transfer-Encoding: chunked"
        if self.announced:
            framing = f"Content-Length: {self.announced}"
        return (
            f"{request_line} HTTP/1.1\r\nHost: desk.example\r\n"
            f"Request-Id: crowd\r\nDeadline-Ms: 60000\r\n{framing}\r\n\r\n"
        ).encode()

    def iterate_body(self):
        """Yields the body in the parts that are written at once."""
        if self.announced:
            parts = [b"x" * (self.piece or self.size)]
            count = self.size // len(parts[0])
        else:
            chunk = b"%x\r\n%s\r\n" % (self.chunk, b"x" * self.chunk)
            each = max(1, PIECE_BYTES // len(chunk))
            parts = [chunk * each]
            count = self.size // (self.chunk * each)
        if self.is_endless:
            return itertools.cycle(parts)
        return itertools.repeat(parts[0], count)

    def make_end(self) -> bytes:
        """Returns what completes the body."""
        if not self.announced:
            return b"0\r\n\r\n"
        return b"x" * (self.announced - self.size)


class Crowd:
    """Some callers that send the same at once; runs in a thread.

    Attributes:
        sent: The number of bytes that all have sent.
    """

    def __init__(self, address: str, request_line: str, load: Load, count: int):
        self._address = address.rsplit(":", 1)
        self._head = load.make_head(request_line)
        self._load = load
        self._count = count
        self.sent = 0
        self._writers: list[asyncio.StreamWriter] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.start()
        self._ran = asyncio.run_coroutine_threadsafe(self._run(), self._loop)

    async def _run(self) -> None:
        callers = [
            asyncio.create_task(self._send(number))
            for number in range(self._count)
        ]
        before = -1
        for _ in range(int(LONGEST_S / REST_S)):
            done, _ = await asyncio.wait(callers, timeout=REST_S)
            if len(done) == len(callers) or self.sent == before:
                return
            before = self.sent

    async def _send(self, number: int) -> None:
        host, port = self._address
        try:
            _, writer = await asyncio.open_connection(host, int(port))
            self._writers.append(writer)
            await self._write(writer, self._head)
            for part in self._load.iterate_body():
                await self._write(writer, part)
            if number % COMPLETE_EVERY == COMPLETE_EVERY - 1:
                await self._write(writer, self._load.make_end())
        except OSError:
            return

    async def _write(self, writer: asyncio.StreamWriter, part: bytes) -> None:
        writer.write(part)
        await writer.drain()
        self.sent += len(part)

    def wait(self) -> None:
        """Waits until the crowd has sent all, or is not read any more."""
        self._ran.result(2 * LONGEST_S)

    def close(self) -> None:
        """Ends all connections and the thread."""
        self._ran.cancel()
        asyncio.run_coroutine_threadsafe(self._close(), self._loop).result(20)
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    async def _close(self) -> None:
        for writer in self._writers:
            writer.transport.abort()
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
