"""TCP relays that inject faults, one for each pair of processes.

All relays run in one thread of the test process. A relay forwards bytes until
a fault is injected:

* `cut`: resets open connections and refuses new ones.
* `silence`: keeps open and new connections open and drops all bytes.
* `silence_open`: drops all bytes of the connections that are open now;
  new connections work.
* `one_way`: drops the bytes towards the server only.
* `reset`: resets the connections that are open now; new connections work.
* `delay`: delays each piece of data.

The rate of a relay can be limited, for each direction of a connection.
"""

import asyncio
import contextlib
import dataclasses
import socket
import struct
import threading
import typing

HOST = "127.0.0.1"
READ_BYTES = 65536
# A rate-limited relay reads small pieces, so that bytes arrive evenly.
SLOW_READ_BYTES = 1024
# SO_LINGER with a timeout of 0 s: closing the socket resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclasses.dataclass
class Link:
    """One connection through a relay, in both directions.

    Attributes:
        silent: Whether the bytes of the connection are dropped.
        ended: Whether both directions have ended. While a link is silent, the
            ends are not closed; `heal` aborts them.
    """

    writers: list[asyncio.StreamWriter]
    silent: bool = False
    ended: bool = False


class Relay:
    """Forwards connections from one process to another.

    Attributes:
        delay_s: The delay of each piece of data.
        refuses: Whether new connections are closed at once.
        silent: Whether all bytes are dropped.
        one_way: Whether bytes towards the server are dropped.
        bytes_per_s: The rate of each direction of a connection; 0 for no
            limit.
    """

    def __init__(self, target: str, bytes_per_s: int = 0):
        self.target = target
        self.bytes_per_s = bytes_per_s
        self.delay_s = 0.0
        self.refuses = False
        self.silent = False
        self.one_way = False
        self.links: list[Link] = []

    async def handle(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection, until it ends or the relay is closed."""
        # asyncio logs a cancelled handler as a failed one.
        with contextlib.suppress(asyncio.CancelledError):
            await self._serve(reader, writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.refuses:
            writer.transport.abort()
            return
        host, port = self.target.rsplit(":", 1)
        try:
            server = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        link = Link([writer, server[1]])
        self.links.append(link)
        await asyncio.gather(
            self._pump(link, reader, server[1], towards_server=True),
            self._pump(link, server[0], writer, towards_server=False),
            return_exceptions=True,
        )
        link.ended = True
        if link in self.links and not (self.silent or link.silent):
            self.links.remove(link)

    async def _pump(
        self,
        link: Link,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        towards_server: bool,
    ) -> None:
        try:
            max_bytes = SLOW_READ_BYTES if self.bytes_per_s else READ_BYTES
            while data := await reader.read(max_bytes):
                if self.bytes_per_s:
                    await asyncio.sleep(len(data) / self.bytes_per_s)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                dropped = self.one_way and towards_server
                if self.silent or link.silent or dropped:
                    continue
                writer.write(data)
                await writer.drain()
        except OSError:
            pass
        if not (self.silent or link.silent):
            writer.close()

    def reset_open(self) -> None:
        """Resets all open connections."""
        for link in list(self.links):
            for writer in link.writers:
                sock = writer.get_extra_info("socket")
                # A connection that has just ended has no file descriptor.
                if sock is not None and sock.fileno() >= 0:
                    sock.setsockopt(
                        socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                    )
                writer.transport.abort()

    def heal(self) -> None:
        """Ends all faults and aborts the connections that were silent."""
        self.delay_s = 0.0
        self.refuses = self.silent = self.one_way = False
        for link in list(self.links):
            if link.silent or link.ended:
                for writer in link.writers:
                    writer.transport.abort()
            if link.ended:
                self.links.remove(link)

    def inject(self, fault: str, delay_ms: float = 0.0) -> None:
        """Begins a fault.

        Raises:
            ValueError: The fault is unknown.
        """
        if fault == "cut":
            self.refuses = True
            self.reset_open()
        elif fault == "silence":
            self.silent = True
        elif fault == "silence_open":
            for link in self.links:
                link.silent = True
        elif fault == "one_way":
            self.one_way = True
        elif fault == "reset":
            self.reset_open()
        elif fault == "delay":
            self.delay_s = delay_ms / 1000
        else:
            raise ValueError(f"there is no fault {fault}")


class Relays:
    """The relays of one deployment by names of client and server."""

    def __init__(self):
        self._relays: dict[tuple[str, str], Relay] = {}
        self._servers: list[asyncio.Server] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever)
        self._thread.daemon = True
        self._thread.start()

    def _run(self, job: typing.Coroutine) -> typing.Any:
        return asyncio.run_coroutine_threadsafe(job, self._loop).result(10)

    def add(
        self, client: str, server: str, address: str, bytes_per_s: int = 0
    ) -> str:
        """Adds a relay and returns the address that it listens on."""
        relay = Relay(address, bytes_per_s)
        self._relays[(client, server)] = relay

        async def listen() -> int:
            listener = await asyncio.start_server(relay.handle, HOST, 0)
            self._servers.append(listener)
            return listener.sockets[0].getsockname()[1]

        return f"{HOST}:{self._run(listen())}"

    def _select(self, client: str, server: str) -> list[Relay]:
        return [
            relay
            for (from_name, to_name), relay in self._relays.items()
            if client in ("*", from_name) and server in ("*", to_name)
        ]

    def inject(
        self, fault: str, client: str, server: str, delay_ms: float = 0.0
    ) -> None:
        """Begins a fault on the relays between two names; `*` is any name."""

        async def inject_all() -> None:
            for relay in self._select(client, server):
                relay.inject(fault, delay_ms)

        self._run(inject_all())

    def isolate(self, name: str, fault: str = "silence") -> None:
        """Begins a fault on all relays from and to one process."""
        self.inject(fault, name, "*")
        self.inject(fault, "*", name)

    def heal(self, server: str = "*") -> None:
        """Ends all faults on the relays to one name; `*` is any name."""

        async def heal_all() -> None:
            for relay in self._select("*", server):
                relay.heal()

        self._run(heal_all())

    def close(self) -> None:
        """Ends all connections and the thread of the relays."""

        async def close_all() -> None:
            for listener in self._servers:
                listener.close()
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            for relay in self._relays.values():
                relay.reset_open()

        self._run(close_all())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(10)
        self._loop.close()
