"""Stand-ins for the platform's backend servers, each on a loopback address.

They follow the platform's published pages: they seal their answers, repeat the
id of a request, refuse requests for another instance, and report their load. A
test can select a behaviour that fails in one of the published ways.
"""

import asyncio
import contextlib
import dataclasses
import threading
import time

import httptools

from cardamomkeel.gateway import names as names_lib

# How long after an answer its late copy is sent.
LATE_S = 0.03
BODY = b"the whole answer of a target"
# The header names of the published pages.
NAMES = names_lib.HeaderNames(
    request_id="Request-Id",
    deadline="Deadline-Ms",
    instance="Expect-Instance",
    seal="Response-Seal",
    load="Server-Load",
    not_run="Not-Executed",
    retry_after="Retry-After",
    reported_instance="Instance-Id",
    cold="Warmup-Ms",
    leaving="Server-Leaving",
    account="Tenant",
)


def read_seconds(value):
    """Returns a number of seconds; 0 for anything else."""
    try:
        return float(value)
    except ValueError:
        return 0.0


@dataclasses.dataclass
class Arrival:
    """A request that reached a target."""

    request_id: str
    method: str
    path: str
    headers: dict[str, str]
    body: bytes
    at: float
    head_at: float
    ran: bool = False
    is_finished: bool = False
    is_cancelled: bool = False
    # Whether the answer said that the target leaves, and for how long it asked
    # for no more requests.
    says_leaving: bool = False
    push_back_s: float = 0.0


class _Connection(asyncio.Protocol):
    def __init__(self, target):
        self.target = target
        self.parser = httptools.HttpRequestParser(self)
        self.transport = None
        self.tasks = set()
        self.is_answered = False

    def connection_made(self, transport):
        self.transport = transport
        self.target.connections.add(self)
        self.target.connections_opened += 1

    def connection_lost(self, exc):
        self.target.connections.discard(self)
        for task in self.tasks:
            task.cancel()

    def data_received(self, data):
        if not self.target.ignores_input:
            self.parser.feed_data(data)

    def on_message_begin(self):
        self.url, self.headers, self.body = b"", {}, bytearray()

    def on_url(self, url):
        self.url += url

    def on_header(self, name, value):
        self.headers[name.decode().lower()] = value.decode("latin-1")

    def on_headers_complete(self):
        self.head_at = time.monotonic()
        if self.url == b"/health":
            return
        self.target.record_head(self.head_at)
        if self.target.answers_early:
            self.target.answers_early = False
            self.is_answered = True
            self.write(
                500,
                {self.target.names.seal: "seal"},
                b"no",
                self.headers[self.target.names.request_id.lower()],
            )

    def on_body(self, body):
        self.body += body

    def on_message_complete(self):
        if self.is_answered:
            self.is_answered = False
            return
        arrival = Arrival(
            self.headers.get(self.target.names.request_id.lower(), ""),
            self.parser.get_method().decode(),
            self.url.decode(),
            self.headers,
            bytes(self.body),
            time.monotonic(),
            self.head_at,
        )
        job = self.target.serve(self, arrival)
        task = asyncio.get_running_loop().create_task(job)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def write(self, status, headers, body, request_id=None, kind="own"):
        says_leaving = self.target.leaving_in == kind
        lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
        if request_id is not None:
            lines.append(f"{self.target.names.request_id}: {request_id}")
        lines.extend(f"{name}: {value}" for name, value in headers.items())
        names = self.target.names
        if self.target.leaving is not None and says_leaving:
            lines.append(f"{names.leaving}: {self.target.leaving}")
        if status == 503 and self.target.push_back is not None:
            lines += [
                f"{names.retry_after}: {v}" for v in self.target.push_back
            ]
        head = "\r\n".join(lines) + "\r\n\r\n"
        self.transport.write(head.encode() + body)


class Target:
    """One backend server.

    Attributes:
        address: Host and port.
        instance: The id of this instance of the server.
        work_s: The duration of a request.
        body: The body of a correct answer.
        slow_percent: The reported duration of work, in percent of normal.
        behaviours: The behaviours for the next requests, in order; "ok" is
            a correct answer.
        run_limit: A semaphore that limits the concurrent requests; None for
            no limit. Further requests wait.
        default_behaviour: The behaviour for requests after `behaviours`.
        slowed_ms: How long the server reports to be slow, from the head of the
            next request on; 0 for not at all.
        answers_early: Whether the next request is answered before its body
            is complete.
        ignores_input: Whether received bytes are ignored.
        health_instance: The instance that health checks name; empty for its
            own.
        leaving: The header value with which the server says that it leaves;
            None if it does not say so.
        leaving_in: Which answers have that header: those to requests
            ("own"), only "interim" ones, only those of "another" request,
            only a second "copy", or only those to "health" checks.
        push_back: The values of Retry-After in refusals; None if the server
            does not push back. It refuses all requests while it does.
        push_back_promises: Whether such a refusal says that it did not run.
        arrivals: The received requests, without health checks.
        probed_at: The times of the health checks.
        connections_opened: The number of connections so far.
    """

    def __init__(self, farm, host, instance, slots=3):
        self.farm = farm
        self.names = farm.names
        self.host = host
        self.instance = instance
        self.slots = slots
        self.work_s = 0.02
        self.body = BODY
        self.slow_percent = 100
        self.slowed_ms = 0
        self.slowed_until = 0.0
        self.answers_early = False
        self.warmup_ms = 0
        self.ignores_input = False
        self.health_instance = ""
        self.leaving = None
        self.leaving_in = "own"
        self.push_back = None
        self.push_back_promises = True
        self.behaviours = []
        self.default_behaviour = "ok"
        self.run_limit = None
        self.arrivals = []
        self.probed_at = []
        self.connections_opened = 0
        self.running = 0
        self.connections = set()
        self.server = None
        self.address = ""

    async def start(self, port=0):
        """Starts listening."""
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: _Connection(self), self.host, port
        )
        port = self.server.sockets[0].getsockname()[1]
        self.address = f"{self.host}:{port}"

    async def stop(self):
        """Stops listening and aborts all connections."""
        self.server.close()
        for conn in list(self.connections):
            conn.transport.abort()

    def record_head(self, now):
        """Records the arrival of the head of a request."""
        if self.slowed_ms:
            self.slowed_until = now + self.slowed_ms / 1000
            self.slowed_ms = 0

    def load(self):
        """Returns the header that reports the load."""
        slowed = time.monotonic() < self.slowed_until
        slow_percent = 500 if slowed else self.slow_percent
        return {
            self.names.load: f"{self.running},0,{self.slots},{slow_percent}"
        }

    async def serve(self, conn, arrival):
        """Handles one request."""
        if arrival.path == "/health":
            self.probed_at.append(time.monotonic())
            headers = {
                self.names.reported_instance: self.health_instance
                or self.instance,
                **self.load(),
            }
            if self.warmup_ms:
                headers[self.names.cold] = str(self.warmup_ms)
            conn.write(200, headers, b"", kind="health")
            return
        self.arrivals.append(arrival)
        expected = self.names.instance.lower()
        requested = arrival.headers.get(expected, self.instance)
        if requested != self.instance:
            not_run = {self.names.not_run: "1"}
            conn.write(421, not_run, b"", arrival.request_id)
            return
        behaviour = (
            self.behaviours.pop(0)
            if self.behaviours
            else self.default_behaviour
        )
        if arrival.path == self.farm.crash_path:
            behaviour = "crash"
        arrival.says_leaving = self.leaving == "1"
        if self.push_back is not None:
            arrival.push_back_s = read_seconds(self.push_back[0])
            behaviour = "full" if self.push_back_promises else "unpromised 503"
        arrival.ran = behaviour != "full"
        self.running += 1
        try:
            await self._apply_behaviour(conn, arrival, behaviour)
            arrival.is_finished = True
        except asyncio.CancelledError:
            arrival.is_cancelled = True
            raise
        finally:
            self.running -= 1

    async def _apply_behaviour(self, conn, arrival, behaviour):
        seal_value = f"seal-{arrival.request_id}"
        seal = {self.names.seal: seal_value, **self.load()}
        request_id = arrival.request_id
        if behaviour == "full":
            conn.write(503, {self.names.not_run: "1"}, b"", request_id)
            return
        if behaviour == "hang":
            await asyncio.sleep(30)
        async with self.run_limit or contextlib.nullcontext():
            await asyncio.sleep(self.work_s)
        if behaviour == "reset":
            conn.transport.abort()
        elif behaviour == "error":
            conn.write(500, seal, b"failed", request_id)
        elif behaviour == "unpromised 503":
            conn.write(503, seal, b"failed", request_id)
        elif behaviour == "unsealed":
            conn.write(200, {}, BODY, request_id)
        elif behaviour == "empty seal":
            conn.write(200, {self.names.seal: ""}, BODY, request_id)
        elif behaviour == "encoded":
            seal["Content-Encoding"] = "gzip"
            conn.write(200, seal, BODY, request_id)
        elif behaviour == "cut":
            head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(BODY)}\r\n"
            conn.transport.write(f"{head}\r\n".encode() + BODY[:5])
            conn.transport.close()
        elif behaviour == "unframed":
            head = "HTTP/1.1 200 OK\r\n"
            head += f"{self.names.request_id}: {request_id}\r\n"
            head += f"{self.names.seal}: {seal_value}\r\n\r\n"
            conn.transport.write(head.encode() + BODY)
            conn.transport.close()
        elif behaviour == "interim":
            leaving = f"{self.names.leaving}: {self.leaving}"
            head = f"HTTP/1.1 103 Early Hints\r\n{leaving}\r\n\r\n"
            conn.transport.write(head.encode())
            conn.write(200, seal, BODY, request_id)
        elif behaviour == "stray first":
            conn.write(200, seal, b"of another", "another-request", "another")
            conn.write(200, seal, BODY, request_id)
        elif behaviour == "twice":
            conn.write(200, seal, BODY, request_id)
            conn.write(200, seal, BODY, request_id, "copy")
        elif behaviour == "late copy":
            conn.write(200, seal, BODY, request_id)
            await asyncio.sleep(LATE_S)
            conn.write(200, seal, BODY, request_id, "copy")
        elif behaviour == "crash":
            await self.stop()
        else:
            conn.write(200, seal, self.body, request_id)


class Farm:
    """Runs targets on a separate event loop in a thread."""

    def __init__(self, names=NAMES):
        self.names = names
        # Requests for this path crash every target that runs them.
        self.crash_path = ""
        self.loop = asyncio.new_event_loop()
        self.targets = []
        self._thread = threading.Thread(
            target=self.loop.run_forever, daemon=True
        )
        self._thread.start()

    def do(self, job):
        """Runs a coroutine on the loop, and returns its result."""
        return asyncio.run_coroutine_threadsafe(job, self.loop).result(30)

    def add(self, host, instance, slots=3):
        """Starts a target."""
        target = Target(self, host, instance, slots)
        self.do(target.start())
        self.targets.append(target)
        return target

    def close(self):
        """Stops all targets and the loop."""

        async def stop_all():
            for target in self.targets:
                await target.stop()
            tasks = [
                task
                for task in asyncio.all_tasks()
                if task is not asyncio.current_task()
            ]
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.do(stop_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()
