"""Stand-ins for backend servers, many in one process.

Each stand-in is an HTTP/1.1 server that announces itself to the entries and
records the requests that it ran. Tests can make it slow, cold, broken or
unresponsive. The process serves until it is stopped. The admin interface uses
JSON: `/servers` lists the stand-ins, `/record` lists the requests that they
ran, `/set` changes the stand-ins that match `where`.
"""

import argparse
import asyncio
import collections
import dataclasses
import hashlib
import json
import secrets
import time
import typing

import httptools
import httpx

from bench import long_bodies

NOT_RUN_HEADER = "Cardamomkeel-Not-Run"
STATE_HEADER = "Cardamomkeel-State"
DEADLINE_HEADER = "cardamomkeel-deadline-ms"
DEFAULT_DEADLINE_MS = 10_000
ANNOUNCE_RETRY_S = 0.2
# How often the lag of the event loop is sampled, and how long a sample counts.
LATENESS_INTERVAL_S = 0.01
LATENESS_WINDOW_S = 2.0


@dataclasses.dataclass
class Run:
    """One request that a stand-in ran.

    Attributes:
        deadline_ms: The time that the request may take.
        due: When the request stops occupying a slot, even if this process
            completes it later; in seconds since the epoch.
        whole: Whether a complete answer was written.
    """

    address: str
    service: str
    method: str
    path: str
    key: str
    started: float
    in_flight: int
    limit: int
    deadline_ms: float
    due: float = 0.0
    ended: float = 0.0
    whole: bool = False


@dataclasses.dataclass
class Server:
    """The state and the faults of one stand-in.

    Attributes:
        latency_ms: How long a request takes.
        cold_runs: The number of runs until the stand-in is warm.
        fail_fast: Whether every request gets status 500 at once.
        shed: Whether every request gets the documented shed answer.
        silent: Whether received bytes are ignored, so that no request is
            answered.
        cut: Whether answers are truncated in their body.
        cut_at: Where else answers are truncated, see `truncate`; empty for
            nowhere.
        refuse: Whether new connections are closed at once.
        announce: Whether the stand-in announces itself.
        tells_state: Whether answers have a header that reports a cold state.
        announced_slots: The slots to announce; 0 for the true number.
        overruns: How often more requests ran than the limit.
        overrun_notes: The requests that ran at each overrun, for debugging.
    """

    service: str
    address: str
    data_centre: str
    slots: int
    cold_slots: int = 1
    latency_ms: float = 5.0
    cold_runs: int = 0
    fail_fast: bool = False
    shed: bool = False
    silent: bool = False
    cut: bool = False
    cut_at: str = ""
    refuse: bool = False
    state: str = "ready"
    announce: bool = True
    tells_state: bool = False
    announced_slots: int = 0
    instance: str = dataclasses.field(
        default_factory=lambda: secrets.token_hex(4)
    )
    in_flight: int = 0
    overruns: int = 0
    overrun_notes: list[dict] = dataclasses.field(default_factory=list)
    crashes: int = 0

    @property
    def limit(self) -> int:
        """The number of requests that may run at once in the present state."""
        return self.cold_slots if self.cold_runs > 0 else self.slots


class Connection(asyncio.Protocol):
    """One connection to a stand-in."""

    def __init__(self, server: Server, fleet: "Fleet"):
        self.server = server
        self.fleet = fleet
        self.tasks: set[asyncio.Task] = set()

    def connection_made(self, transport):
        """Registers the connection, or closes it if it is refused."""
        self.transport = transport
        self.can_write = asyncio.Event()
        self.can_write.set()
        self.parser = httptools.HttpRequestParser(self)
        self.fleet.connections[self.server.address].add(self)
        if self.server.refuse:
            transport.abort()

    def connection_lost(self, exc):
        """Cancels the running requests, as a backend server would."""
        self.fleet.connections[self.server.address].discard(self)
        for task in self.tasks:
            task.cancel()

    def pause_writing(self):
        """Pauses streaming while the entry does not read."""
        self.can_write.clear()

    def resume_writing(self):
        """Resumes streaming once the entry reads."""
        self.can_write.set()

    def data_received(self, data):
        """Parses bytes of requests, unless the stand-in is silent."""
        if not self.server.silent:
            self.parser.feed_data(data)

    def on_message_begin(self):
        """Resets the fields of the request."""
        self.url = b""
        self.headers: dict[str, str] = {}
        self.body: list[bytes] = []

    def on_url(self, url):
        """Appends a part of the path."""
        self.url += url

    def on_header(self, name, value):
        """Stores a header."""
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_body(self, body):
        """Appends a part of the body."""
        self.body.append(body)

    def on_message_complete(self):
        """Runs a complete request."""
        method = self.parser.get_method().decode()
        coro = self._run(method, self.url.decode(), b"".join(self.body))
        task = asyncio.get_running_loop().create_task(coro)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _run(self, method: str, path: str, body: bytes) -> None:
        server = self.server
        if path.startswith("/crash"):
            run = self._record_run(method, path)
            run.ended = run.started
            self.fleet.crash(server)
            return
        if server.shed:
            self._write(503, b"", {NOT_RUN_HEADER: "shed"})
            return
        run = self._record_run(method, path)
        if server.fail_fast:
            run.ended = run.started
            self._write(500, b"{}", {})
            return
        if len(self._list_running()) + 1 > server.limit:
            self._record_overrun(run)
            if server.cold_runs > 0:
                run.ended = run.started
                self.fleet.crash(server)
                return
        server.in_flight += 1
        running = self.fleet.running[server.address]
        running.append(run)
        size = int(self.headers.get("stream-bytes", "0"))
        try:
            await self._wait_until_due(run)
            if size:
                run.due = float("inf")
                await self._stream(run, size)
        finally:
            server.in_flight -= 1
            running.remove(run)
            run.ended = time.time()
        if not size:
            self._answer(run, body)

    def _list_running(self) -> list[Run]:
        """Returns the runs that are not due yet."""
        now = time.time()
        running = self.fleet.running[self.server.address]
        return [run for run in running if run.due > now]

    def _record_overrun(self, new: Run) -> None:
        """Records the running requests and the lateness of this process."""
        server = self.server
        server.overruns += 1
        now = time.time()
        server.overrun_notes.append(
            {
                "limit": server.limit,
                "cold_runs": server.cold_runs,
                "late_ms": self.fleet.lateness.max_ms(),
                "running": [
                    {
                        "age_ms": round(1000 * (now - run.started)),
                        "deadline_ms": run.deadline_ms,
                    }
                    for run in [*self._list_running(), new]
                ],
            }
        )

    async def _stream(self, run: Run, size: int) -> None:
        """Answers with a long body at the pace at which the entry reads."""
        self.server.cold_runs = max(0, self.server.cold_runs - 1)
        is_chunked = "stream-chunked" in self.headers
        length = f"Content-Length: {size}"
        if is_chunked:
            length = "Transfer-Encoding: chunked"
        self.transport.write(f"HTTP/1.1 200 X\r\n{length}\r\n\r\n".encode())
        remaining = int(self.headers.get("stream-cut-after", size + 1))
        for piece in long_bodies.make_pieces(size):
            remaining -= len(piece)
            if remaining < 0:
                self.transport.close()
                return
            if is_chunked:
                piece = b"%x\r\n%b\r\n" % (len(piece), piece)
            self.transport.write(piece)
            await self.can_write.wait()
        if is_chunked:
            self.transport.write(b"0\r\n\r\n")
        run.whole = True

    async def _wait_until_due(self, run: Run) -> None:
        while (remaining_s := run.due - time.time()) > 0:
            await asyncio.sleep(min(remaining_s, 0.05))

    def _record_run(self, method: str, path: str) -> Run:
        server = self.server
        deadline_ms = float(
            self.headers.get(DEADLINE_HEADER, DEFAULT_DEADLINE_MS)
        )
        now = time.time()
        run = Run(
            server.address,
            server.service,
            method,
            path,
            self.headers.get("idempotency-key", ""),
            now,
            server.in_flight + 1,
            server.limit,
            deadline_ms,
            now + min(server.latency_ms, deadline_ms) / 1000,
        )
        self.fleet.record.append(run)
        return run

    def _answer(self, run: Run, body: bytes) -> None:
        server = self.server
        server.cold_runs = max(0, server.cold_runs - 1)
        answer = {
            "service": server.service,
            "address": server.address,
            "path": run.path,
            "key": run.key,
            "caller_id": self.headers.get("caller-id", ""),
            "body_hash": hashlib.sha256(body).hexdigest(),
            "run": len(self.fleet.record),
        }
        size = int(self.headers.get("answer-bytes", "0"))
        answer["padding"] = "x" * size
        run.whole = not server.cut and not server.cut_at
        headers = {}
        if server.tells_state and server.cold_runs:
            headers[STATE_HEADER] = "cold"
        self._write(200, json.dumps(answer).encode(), headers)

    def _write(self, status: int, body: bytes, headers: dict) -> None:
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        lines.append("Content-Type: application/json")
        lines += [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(lines).encode() + b"\r\n\r\n"
        if self.server.cut:
            self.transport.write(head + body[: len(body) // 2])
            self.transport.close()
            return
        if self.server.cut_at:
            self.transport.write(truncate(head, body, self.server.cut_at))
            self.transport.close()
            return
        self.transport.write(head + body)


def truncate(head: bytes, body: bytes, where: str) -> bytes:
    """Returns the first part of an answer, which ends in a certain place.

    Args:
        head: The head, with a length.
        body: The body.
        where: The place.
    """
    if where == "in the last chunk":
        lines = head.split(b"\r\n")
        lines[1] = b"Transfer-Encoding: chunked"
        return b"\r\n".join(lines) + b"%x\r\n%b\r\n0\r\n" % (len(body), body)
    ends = {
        "in the status line": head.index(b"\r\n") - 1,
        "in a header": len(head) - len(b"son\r\n\r\n"),
        "before the blank line": len(head) - len(b"\r\n"),
        "in the body": len(head) + len(body) // 2,
    }
    return (head + body)[: ends[where]]


class Lateness:
    """Measures how late the event loop of this process runs its tasks.

    While the process does not run, requests to a stand-in wait unread, and
    the sender can't detect that.
    """

    def __init__(self):
        self._samples: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._due = time.monotonic()

    async def run(self) -> None:
        """Samples the lateness periodically."""
        while True:
            self._due = time.monotonic() + LATENESS_INTERVAL_S
            await asyncio.sleep(LATENESS_INTERVAL_S)
            now = time.monotonic()
            self._samples.append((now, now - self._due))
            while self._samples[0][0] < now - LATENESS_WINDOW_S:
                self._samples.popleft()

    def max_ms(self) -> int:
        """Returns the maximum lateness in the window that ends now."""
        lateness_s = time.monotonic() - self._due
        lateness_s = max(
            [lateness_s, *(sample_s for _, sample_s in self._samples)]
        )
        return round(1000 * lateness_s)


class Fleet:
    """All stand-ins of one process."""

    def __init__(self, servers: list[Server], entries: list[str]):
        self.servers = {server.address: server for server in servers}
        self.connections: dict[str, set[Connection]] = {
            server.address: set() for server in servers
        }
        self.record: list[Run] = []
        self.running: dict[str, list[Run]] = {
            server.address: [] for server in servers
        }
        self.entries = entries
        self.announcements = 0
        self.announced_bytes = 0
        self.lateness = Lateness()

    def crash(self, server: Server) -> None:
        """Aborts all connections and makes a new, cold instance."""
        server.crashes += 1
        server.cold_runs = 10
        server.instance = secrets.token_hex(4)
        for connection in list(self.connections[server.address]):
            connection.transport.abort()

    async def run_server(self, server: Server) -> None:
        """Listens for one stand-in."""
        host, port = server.address.rsplit(":", 1)
        loop = asyncio.get_running_loop()
        await loop.create_server(
            lambda: Connection(server, self), host, int(port), backlog=512
        )

    async def announce(self, server: Server, http: httpx.AsyncClient) -> None:
        """Announces one stand-in periodically, to one entry after another."""
        addresses = list(self.entries)
        start = hash(server.address) % len(addresses)
        addresses = addresses[start:] + addresses[:start]
        while True:
            if not server.announce:
                await asyncio.sleep(ANNOUNCE_RETRY_S)
                continue
            try:
                got = await http.post(
                    f"http://{addresses[0]}/v1/announce",
                    json={
                        "service": server.service,
                        "address": server.address,
                        "data_centre": server.data_centre,
                        "slots": server.announced_slots or server.slots,
                        "instance": server.instance,
                        "state": server.state,
                    },
                )
                self._count_announcement(got)
                if got.status_code == 429:
                    await asyncio.sleep(int(got.headers["retry-after"]))
                    continue
                if got.status_code != 200:
                    raise httpx.HTTPError(got.text)
                reply = got.json()
            except httpx.HTTPError:
                addresses = addresses[1:] + addresses[:1]
                await asyncio.sleep(ANNOUNCE_RETRY_S)
                continue
            others = [e for e in addresses if e not in reply["announce_to"]]
            addresses = reply["announce_to"] + others
            await self._pause(server, reply["every_ms"] / 1000)

    def _count_announcement(self, got: httpx.Response) -> None:
        self.announcements += 1
        for message in (got.request, got):
            lines = sum(len(n) + len(v) + 4 for n, v in message.headers.raw)
            self.announced_bytes += lines + len(message.content) + 40

    async def _pause(self, server: Server, seconds: float) -> None:
        """Waits for the interval, or until a change has to be announced."""
        before = (server.state, server.instance)
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if before != (server.state, server.instance):
                return
            await asyncio.sleep(0.1)

    # The admin interface.

    def admin(self, method: str, path: str, body: bytes) -> typing.Any:
        """Handles one admin call and returns its answer."""
        if path == "/servers":
            return [
                dataclasses.asdict(s)
                | {"connections": self._count_connections(s)}
                for s in self.servers.values()
            ]
        if path == "/record":
            return [dataclasses.asdict(run) for run in self.record]
        if path == "/announcements":
            return {"count": self.announcements, "bytes": self.announced_bytes}
        if path == "/clear":
            self.record.clear()
            for server in self.servers.values():
                server.overruns = server.crashes = 0
                server.overrun_notes = []
            return {}
        if path == "/crash":
            self.crash(self.servers[json.loads(body)["address"]])
            return {}
        if path == "/set":
            return self._set(json.loads(body))
        return {"error": f"no {method} {path}"}

    def _count_connections(self, server: Server) -> int:
        return len(self.connections[server.address])

    def _set(self, changes: dict) -> typing.Any:
        conditions = changes.pop("where", {})
        changed = []
        for server in self.servers.values():
            if all(getattr(server, k) == v for k, v in conditions.items()):
                for name, value in changes.items():
                    setattr(server, name, value)
                changed.append(server.address)
        return changed


async def serve_admin(fleet: Fleet, port: int) -> None:
    """Serves the admin interface."""

    async def handle(reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        method, path, _ = head.decode().split("\r\n")[0].split(" ")
        length = 0
        for line in head.decode().lower().split("\r\n"):
            if line.startswith("content-length:"):
                length = int(line.split(":")[1])
        body = await reader.readexactly(length)
        answer = json.dumps(fleet.admin(method, path, body)).encode()
        writer.write(
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n"
            b"Content-Length: %d\r\n\r\n" % len(answer) + answer
        )
        await writer.drain()
        writer.close()

    await asyncio.start_server(handle, "127.0.0.1", port)


async def main(args: argparse.Namespace) -> None:
    """Runs the stand-ins that a file lists."""
    with open(args.servers, encoding="utf-8") as file:
        servers = [Server(**fields) for fields in json.load(file)]
    fleet = Fleet(servers, args.entries.split(","))
    await serve_admin(fleet, args.admin_port)
    async with httpx.AsyncClient(
        trust_env=False, verify=False, timeout=5
    ) as http:
        coros = [fleet.lateness.run()]
        for server in servers:
            await fleet.run_server(server)
            coros.append(fleet.announce(server, http))
        await asyncio.gather(*coros)


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--servers", required=True)
    parser.add_argument("--entries", required=True)
    parser.add_argument("--admin-port", type=int, required=True)
    try:
        asyncio.run(main(parser.parse_args()))
    except KeyboardInterrupt:
        pass
