"""Stand-ins for targets: sound ones, which a script can crash."""

import asyncio
import contextlib
import json
import secrets
import threading
import time

HEARTBEAT_S = 1.5


class Target:
    """One target. It runs `slots` requests at a time and queues the rest."""

    def __init__(self, farm, service, zone, ip, port, slots, work_s):
        self.farm = farm
        self.service, self.zone = service, zone
        self.ip, self.port = ip, port
        self.slots, self.work_s = slots, work_s
        self.server = None
        self.id = ""

    # Called on the farm's event loop.

    async def start(self):
        """Starts a new incarnation."""
        self.id = f"i-{secrets.token_hex(4)}"
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.running = self.waiting = 0
        self.free = asyncio.Semaphore(self.slots)
        self.paths = []
        self.writers = set()
        self.tasks = set()
        self.server = await asyncio.start_server(
            self._serve, self.ip, self.port
        )
        self.farm.record.write(f"target {self.id} ({self.service}) starts")

    async def crash(self):
        """Ends at once: all connections are reset and new ones refused."""
        self.farm.record.write(
            f"target {self.id} ({self.service}) crashes, "
            f"{self.running} requests running"
        )
        self.server.close()
        self.server = None
        for writer in self.writers:
            writer.transport.abort()
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _headers(self, *more):
        load = f"{self.running},{self.waiting},{self.slots},100"
        return [("Server-Load", load), ("Instance-Id", self.id), *more]

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.tasks.add(asyncio.current_task())
        try:
            while await self._serve_one(reader, writer):
                pass
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self.writers.discard(writer)
            self.tasks.discard(asyncio.current_task())
            writer.close()

    async def _serve_one(self, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        method, path, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        if path == "/health":
            await self._write(writer, 200, self._headers(("Warmup-Ms", "0")))
            return True
        name = headers.get("request-id", "")
        echo = ("Request-Id", name)
        if headers.get("expect-instance", self.id) != self.id:
            await self._write(
                writer, 421, self._headers(echo, ("Not-Executed", "1"))
            )
            return True
        self.waiting += 1
        try:
            await self.free.acquire()
        finally:
            self.waiting -= 1
        self.running += 1
        self.paths.append(path)
        self.farm.record.write(
            f"target {self.id} ({self.service}) runs {name}: {method} {path}, "
            f"{len(body)} bytes"
        )
        self.farm.runs.append((name, self.service, method, path, self.id))
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
            self.paths.remove(path)
            self.free.release()
        seal = ("Response-Seal", f"seal-{name}")
        await self._write(writer, 200, self._headers(echo, seal), b"done")
        return True

    async def _write(self, writer, status, headers, body=b""):
        lines = [f"HTTP/1.1 {status} Status", f"Content-Length: {len(body)}"]
        lines += [f"{name}: {value}" for name, value in headers]
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()

    def heartbeat(self):
        """Returns the path and body of the next heartbeat."""
        self.seq += 1
        body = {
            "service": self.service,
            "address": f"{self.ip}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmup-left-ms": 0,
            "seq": self.seq,
            "born": self.born,
        }
        return f"/-/instances/{self.id}", json.dumps(body).encode()


class Farm:
    """All targets, on the event loop of one thread.

    Attributes:
        runs: Id, service, method, path and target of each request that ran.
    """

    def __init__(self, system, record):
        self.system, self.record = system, record
        self.runs = []
        self.targets = []
        self._stopping = threading.Event()
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(
            target=self._loop.run_forever, daemon=True
        )
        self._thread.start()
        self._beats = threading.Thread(target=self._beat, daemon=True)
        self._beats.start()

    def run(self, job):
        """Runs a coroutine on the event loop of the targets."""
        return asyncio.run_coroutine_threadsafe(job, self._loop).result(10)

    def add(self, service, zone, slots=3, work_s=0.2):
        """Starts a target and announces it."""
        ip = f"{self.system.net}.{101 + len(self.targets)}"
        target = Target(
            self, service, zone, ip, self.system.port, slots, work_s
        )
        self.run(target.start())
        self.announce(target)
        self.targets.append(target)
        return target

    def announce(self, target):
        """Sends a heartbeat; tries the other machines without an answer."""
        path, body = target.heartbeat()
        for machine in sorted(
            self.system.cores, key=lambda core: core.zone != target.zone
        ):
            got = self.system.call(machine, "PUT", path, body)
            if got is not None and got[0] == 200:
                return True
        return False

    def _beat(self):
        while not self._stopping.wait(HEARTBEAT_S):
            for target in list(self.targets):
                if target.server is not None:
                    self.announce(target)

    def close(self):
        """Stops all targets."""
        self._stopping.set()
        self._beats.join(10)
        for target in self.targets:
            if target.server is not None:
                with contextlib.suppress(Exception):
                    self.run(target.crash())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join(5)
