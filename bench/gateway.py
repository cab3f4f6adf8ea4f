"""Runs one gateway with rows from a test in place of a control group."""

import asyncio
import concurrent.futures
import contextlib
import socket
import threading
import time

import anyio
import uvloop

from bench import deployment as deployment_lib
from bench import platform_targets
from cardamomkeel.gateway import program as program_lib
from cardamomkeel.gateway import settings as settings_lib
from cardamomkeel.routes import document as document_lib
from cardamomkeel.settings import structs
from cardamomkeel.wire import control_pb2

HOST = "127.0.0.1"
OWN_DATA_CENTRE = "brest"
ENTRY = "entry-1"


def make_route(**changes):
    """Returns a route of the routes document."""
    route = {
        "name": "look",
        "host": "desk.example",
        "prefix": "/look/",
        "parts": [{"service": "dossier", "weight": 1}],
        "idempotent": True,
        "attempts": 2,
        "timeout_ms": 2000,
        "objective_ms": 600,
        "priority": 1,
    }
    return route | changes


ROUTES = [
    make_route(),
    make_route(name="book", prefix="/book/", idempotent=False, priority=0),
]


class Rig:
    """A gateway on this machine, with targets that a test controls.

    Attributes:
        farm: Runs the targets.
        program: The gateway.
        routes_record: The row of the routes; None before there is one.
    """

    def __init__(self, **settings):
        self.farm = platform_targets.Farm()
        self.settings = settings
        self.version = 0
        self.rows = {}
        self.program = None
        self.routes_record = None
        self.loop = uvloop.new_event_loop()
        self._pool = concurrent.futures.ThreadPoolExecutor(64)
        self._thread = threading.Thread(target=self._run_loop, daemon=True)
        self._thread.start()
        self.scope = None
        self.do(self._start())

    def _run_loop(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_forever()

    def do(self, job):
        """Runs a coroutine on the gateway's loop."""
        return asyncio.run_coroutine_threadsafe(job, self.loop).result(30)

    async def _start(self):
        address = deployment_lib.free_address()
        cfg = settings_lib.GatewaySettings(
            name=ENTRY,
            data_centre=OWN_DATA_CENTRE,
            callers_address=address,
            entries_address=deployment_lib.free_address(),
            operators_address=deployment_lib.free_address(),
            control={"none": f"{HOST}:1"},
            headers=platform_targets.NAMES,
            **({"stop_within_ms": 3000, "listen_on_ms": 300} | self.settings),
        )
        self.program = program_lib.GatewayProgram(cfg)
        self.address = address
        started = asyncio.Event()

        async def run():
            async with anyio.create_task_group() as tasks:
                self.scope = tasks.cancel_scope
                await self.program.gossip.start(
                    cfg.entries_address, self.program.targets
                )
                await self.program.server.start(address)
                started.set()
                await anyio.sleep_forever()

        self.task = asyncio.get_running_loop().create_task(run())
        await started.wait()

    def apply_rows(self, records, whole=False):
        """Sends rows to the gateway, as a control VM does."""
        self.version += 1
        for record in records:
            record.version = self.version
        reply = control_pb2.FollowReply(
            version=self.version, whole=whole, records=records, log_ms=1000
        )

        async def apply():
            self.program.session._apply_reply(reply)  # noqa: SLF001

        self.do(apply())

    def set_routes(
        self, routes, number, services=None, accounts=None, **limits
    ):
        """Sends routes to the gateway."""
        content = {
            "routes": routes,
            "services": services or {"dossier": {"cold_ms": 0}},
            "limits": limits,
            "accounts": accounts,
        }
        document = structs.convert(
            content, document_lib.RoutesDocument, "the test"
        ).unwrap()
        self.routes_record = control_pb2.Record(
            key="routes",
            routes=control_pb2.RoutesRecord(
                number=number, document=structs.encode(document)
            ),
        )
        self.apply_rows([self.routes_record])

    def add_target(
        self, data_centre=OWN_DATA_CENTRE, service="dossier", **more
    ):
        """Starts a target and announces it."""
        instance = f"i-{len(self.farm.targets) + 1}"
        target = self.farm.add(HOST, instance)
        self.announce(target, data_centre, service, **more)
        return target

    def announce(
        self, target, data_centre=OWN_DATA_CENTRE, service="dossier", **more
    ):
        """Sends the row of a target to the gateway."""
        fields = {
            "address": target.address,
            "instance": target.instance,
            "service": service,
            "data_centre": data_centre,
            "slots": target.slots,
            "state": "ready",
            "born_ms": 1,
        } | more
        self.apply_rows(
            [
                control_pb2.Record(
                    key=f"instance/{target.address}",
                    instance=control_pb2.InstanceRecord(**fields),
                )
            ]
        )

    def add_entry(self):
        """Sends the gateway's own row to it."""
        entry = control_pb2.EntryRecord(
            session=1, name=ENTRY, data_centre=OWN_DATA_CENTRE
        )
        self.apply_rows([control_pb2.Record(key="entry/1", entry=entry)])

    def take_out(self):
        """Takes the data centre of the gateway out of service."""
        out = control_pb2.OutRecord(data_centre=OWN_DATA_CENTRE)
        self.apply_rows(
            [control_pb2.Record(key=f"out/{OWN_DATA_CENTRE}/", out=out)]
        )

    def bring_back(self):
        """Brings the data centre back into service."""
        self.apply_rows(
            [control_pb2.Record(key=f"out/{OWN_DATA_CENTRE}/", deleted=True)]
        )

    def connect(self):
        """Opens a connection of a caller."""
        host, _, port = self.address.rpartition(":")
        return Caller(socket.create_connection((host, int(port)), 10))

    def call(self, method="GET", path="/look/1", body=b"", **headers):
        """Sends one request over a new connection."""
        caller = self.connect()
        try:
            caller.send(method, path, body, **headers)
            return caller.receive()
        finally:
            caller.close()

    def call_many(self, count, *args, **kwargs):
        """Sends requests concurrently."""
        futs = [
            self._pool.submit(self.call, *args, **kwargs) for _ in range(count)
        ]
        return [fut.result(60) for fut in futs]

    def close(self):
        """Stops the gateway and its targets."""

        async def stop():
            self.scope.cancel()
            await asyncio.gather(self.task, return_exceptions=True)
            await self.program.server.stop_listening()
            for conn in list(self.program.server.connections):
                conn.abort()
            self.program.upstream.close()
            self.program.gossip.close()
            self.program.control.close()
            await asyncio.sleep(0.01)

        self.do(stop())
        self.farm.close()
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(10)
        self.loop.close()
        self._pool.shutdown()


class Answer:
    """An answer that a caller received."""

    def __init__(self, status, headers, body, took_s):
        self.status = status
        self.headers = headers
        self.body = body
        self.took_s = took_s

    def __repr__(self):
        return f"{self.status} {self.headers} {self.body!r} {self.took_s:.3f} s"


class Caller:
    """One connection of a caller, with control over each byte."""

    numbers = iter(range(1, 10**9))

    def __init__(self, sock):
        self.sock = sock
        self.sock.settimeout(10)
        self.raw = b""
        self.sent_at = time.monotonic()

    def send(self, method="GET", path="/look/1", body=b"", **headers):
        """Sends a request; underscores in header names stand for hyphens."""
        request_id = f"r-{next(self.numbers)}"
        fields = {
            "host": "desk.example",
            "request-id": request_id,
            "deadline-ms": "4000",
        }
        fields |= {n.replace("_", "-"): v for n, v in headers.items()}
        if body or method != "GET":
            fields["content-length"] = str(len(body))
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{n}: {v}" for n, v in fields.items() if v is not None]
        self.sent_at = time.monotonic()
        self.sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        return request_id

    def send_raw(self, raw):
        """Sends bytes as they are."""
        self.sent_at = time.monotonic()
        self.sock.sendall(raw)

    def _read_more(self):
        chunk = self.sock.recv(65536)
        if not chunk:
            raise EOFError(self.raw)
        self.raw += chunk

    def receive(self):
        """Returns the next answer."""
        while b"\r\n\r\n" not in self.raw:
            self._read_more()
        head, _, rest = self.raw.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        headers = {}
        for line in lines[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        self.raw = rest
        while len(self.raw) < length:
            self._read_more()
        body, self.raw = self.raw[:length], self.raw[length:]
        status = int(lines[0].split()[1])
        took_s = time.monotonic() - self.sent_at
        return Answer(status, headers, body, took_s)

    def is_closed(self):
        """Waits for the peer; returns whether it closed without more bytes."""
        return self.sock.recv(1) == b""

    def shut_down(self):
        """Ends the calls of other threads on this connection."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def close(self):
        """Closes the connection."""
        self.sock.close()
