"""Stand-ins for the operator, the servers and the clients."""

import asyncio
import contextlib
import json
import random
import secrets
import time

from stand_ins_2 import http1

HEARTBEAT_S = 1.5
COLUMNS = [
    "name",
    "hostname",
    "path-prefix",
    "type",
    "timeout-ms",
    "aim-ms",
    "priority",
    "traffic-split",
    "attempts",
    "service",
]
SERVICE_COLUMNS = [
    "name",
    "health-path",
    "max-conns",
    "protocol",
    "tls",
    "warmup-s",
    "warmup-per-s",
]
LIMITS = {
    "max-header-bytes": 16384,
    "max-body-bytes": 67108864,
    "header-timeout-ms": 3000,
    "idle-timeout-ms": 15000,
}


def make_config(version, base, routes, services):
    """Returns a configuration as the pages show it."""
    return {
        "version": f"{version:08x}",
        "base-version": f"{base:08x}",
        "routes": {"columns": COLUMNS, "rows": routes},
        "services": {
            "columns": SERVICE_COLUMNS,
            "rows": [
                [name, "/health", 260, "h1", False, 3.0, 3.9]
                for name in services
            ],
        },
        "limits": LIMITS,
    }


class Control:
    """What all callers of the control machines do: one after the other."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def call(self, method, path, content=None, within_s=20.0):
        """Sends an order until a control machine answers it clearly."""
        body = b"" if content is None else json.dumps(content).encode()
        until = time.monotonic() + within_s
        machines = list(self.fleet.cores)
        random.shuffle(machines)
        number = 0
        while time.monotonic() < until:
            machine = machines[number % len(machines)]
            number += 1
            host, port = machine.address("control")
            headers = {
                "Host": f"{host}:{port}",
                "Content-Type": "application/json",
            }
            got = await http1.call((host, port), method, path, headers, body)
            if got is not None and got.status < 500 and got.status != 429:
                return got
            await asyncio.sleep(0.05 * min(number, 10))
        return None


class Server:
    """One server ("target" on the pages) with a number of slots.

    Attributes:
        runs: What it ran: time, request id, method and path.
        crash_path: A request with this path ends the server as it begins.
        crashes: When it crashed.
    """

    def __init__(self, control, service, zone, host, instance, slots=3):
        self.control = control
        self.service = service
        self.zone = zone
        self.host = host
        self.port = 0
        self.instance = instance
        self.slots = slots
        self.work_s = 0.15
        self.crash_path = ""
        self.back_after_s = 2.0
        self.warmup_s = 3.0
        # How far its clock is ahead of the true time.
        self.clock_ahead_s = 0.0
        self.tells_load = True
        self.runs = []
        self.ended_early = []
        self.crashes = []
        self.acks = []
        self.state = "ready"
        self.running = 0
        self.warm_at = 0.0
        self._seq = 0
        self._born = 0
        self._server = None
        self._beats = None
        self._writers = set()
        self._tasks = set()

    async def start(self, warm=False):
        """Starts, under the id that it had."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]
        self._seq = 0
        self._born = int((time.time() + self.clock_ahead_s) * 1000)
        self.warm_at = time.monotonic() + (0.0 if warm else self.warmup_s)
        self._beats = asyncio.create_task(self._announce())

    def warmup_left_ms(self):
        """Returns how much longer it is cold."""
        return max(0, int((self.warm_at - time.monotonic()) * 1000))

    async def announce(self):
        """Sends one heartbeat; returns the answer."""
        self._seq += 1
        beat = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmup-left-ms": self.warmup_left_ms(),
            "seq": self._seq,
            "born": self._born,
        }
        path = f"/-/instances/{self.instance}"
        got = await self.control.call("PUT", path, beat, within_s=1.2)
        self.acks.append((time.monotonic(), got is not None and got.status))
        return got

    async def become_cold(self):
        """Becomes cold again, and says so in a heartbeat at once."""
        self.warm_at = time.monotonic() + self.warmup_s
        return await self.announce()

    async def _announce(self):
        while True:
            await self.announce()
            await asyncio.sleep(HEARTBEAT_S)

    async def crash(self):
        """Ends at once: connections are reset and new ones refused."""
        self.crashes.append(time.monotonic())
        self._beats.cancel()
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()
        await asyncio.sleep(self.back_after_s)
        await self.start()

    async def stop(self):
        """Ends for good."""
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    def _load(self):
        """Returns the header that tells the load, if it tells it."""
        if not self.tells_load:
            return {}
        running = min(self.running, self.slots)
        waiting = self.running - running
        return {"Server-Load": f"{running},{waiting},{self.slots},100"}

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        work = None
        request = asyncio.create_task(http1.read_message(reader))
        try:
            while True:
                req = await request
                request = asyncio.create_task(http1.read_message(reader))
                work = asyncio.create_task(self._answer(req, writer))
                # A request is dropped when its connection closes.
                done, _ = await asyncio.wait(
                    [work, request], return_when=asyncio.FIRST_COMPLETED
                )
                if work not in done:
                    work.cancel()
                    return
                if not work.result():
                    return
        except (OSError, EOFError, asyncio.CancelledError):
            pass
        finally:
            for task in (work, request):
                if task is not None:
                    task.cancel()
                    with contextlib.suppress(
                        asyncio.CancelledError, OSError, EOFError
                    ):
                        await task
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, req, writer):
        """Answers one request; returns whether the connection stays."""
        method, path = req.first[0], req.first[1]
        if path == "/health":
            headers = {"Instance-Id": self.instance} | self._load()
            if self.warmup_left_ms():
                headers["Warmup-Ms"] = self.warmup_left_ms()
            writer.write(http1.encode("HTTP/1.1 200 OK", headers))
            return True
        request_id = req.headers.get("request-id", "")
        expected = req.headers.get("expect-instance", self.instance)
        echo = {"Request-Id": request_id} | self._load()
        if expected != self.instance:
            writer.write(http1.encode("HTTP/1.1 421 Other", echo))
            return True
        if self.running >= self.slots + 6:
            echo["Not-Executed"] = "1"
            writer.write(http1.encode("HTTP/1.1 503 Full", echo))
            return True
        self.running += 1
        began = time.monotonic()
        self.runs.append((began, request_id, method, path))
        try:
            if path == self.crash_path:
                task = asyncio.create_task(self.crash())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                return False
            await asyncio.sleep(self.work_s)
        except asyncio.CancelledError:
            self.ended_early.append((time.monotonic(), request_id))
            raise
        finally:
            self.running -= 1
        seal = {"Response-Seal": f"seal-{request_id}"}
        body = f"{self.instance} {request_id}".encode()
        writer.write(http1.encode("HTTP/1.1 200 OK", echo | seal, body))
        return True


async def resolve(fleet, host, zone):
    """Returns the addresses that the directory names, nearest machine first."""
    near = sorted(fleet.fronts, key=lambda machine: machine.zone != zone)
    for machine in near[:3]:
        path = f"/-/resolve?name={host}&region=breizh&zone={zone}"
        got = await http1.call(
            machine.address("directory"), "GET", path, {"Host": "directory"}
        )
        if got is not None and got.status == 200:
            named = json.loads(got.body)["addresses"]
            return [
                (address.rpartition(":")[0], int(address.rpartition(":")[2]))
                for address in named
            ]
    return []


def make_id():
    """Returns the id of one client attempt."""
    return secrets.token_hex(8)


async def wait_until_ready(fleet, within_s=30.0):
    """Waits until every front machine says that it is ready.

    Raises:
        TimeoutError: One does not in time.
    """
    until = time.monotonic() + within_s
    for machine in fleet.fronts:
        while True:
            got = await http1.call(
                machine.address("ready"), "GET", "/-/ready", {"Host": "ready"}
            )
            if got is not None and got.status == 200:
                break
            if time.monotonic() > until:
                raise TimeoutError(f"{machine.name} is not ready")
            await asyncio.sleep(0.1)
