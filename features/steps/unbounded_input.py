"""Steps about peers that send bytes without end."""

import asyncio
import concurrent.futures
import pathlib
import resource
import threading
import time

from behave import given
from behave import then
from behave import when

from bench import gateway as gateway_lib
from cardamomkeel import clock
from cardamomkeel.backend_servers import client as client_lib
from cardamomkeel.backend_servers import pool
from cardamomkeel.routing import messages
from features import raw_server

MB = 1_000_000
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
TINY_CHUNK = b"2\r\nxx\r\n"
# What is sent once, and what is then sent again and again.
ANSWERS = {
    "a header value": (b"HTTP/1.1 200 OK\r\nX-Long: ", b"x"),
    "a header name": (b"HTTP/1.1 200 OK\r\n", b"x"),
    "a reason phrase": (b"HTTP/1.1 200 ", b"x"),
    "interim answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
    "a chunk extension": (CHUNKED + b"ID\r\n\r\n1;", b"x"),
    "a trailer": (CHUNKED + b"ID\r\n\r\n0\r\nX-Long: ", b"x"),
    "answers to other requests": (
        b"",
        b"HTTP/1.1 200 OK\r\nRequest-Id: other\r\n"
        b"Cardamomkeel-Request-Id: other\r\nContent-Length: 1000\r\n\r\n"
        + b"x"
        * 1000,
    ),
    "a body in chunks": (
        CHUNKED + b"ID\r\n\r\n",
        b"1000\r\n" + b"x" * 0x1000 + b"\r\n",
    ),
    "a body in tiny chunks": (CHUNKED + b"ID\r\n\r\n", TINY_CHUNK),
    "a body without a length": (b"HTTP/1.1 200 OK\r\nID\r\n\r\n", b"x"),
}
HEAD = (
    b"POST /book/1 HTTP/1.1\r\nHost: desk.example\r\nRequest-Id: r-raw\r\n"
    b"Transfer-Encoding: chunked\r\n"
)
REQUESTS = {
    "a path": (b"GET /look/", b"x"),
    "a header value": (HEAD + b"X-Long: ", b"x"),
    "a header name": (HEAD, b"x"),
    "a chunk extension": (HEAD + b"\r\n1;", b"x"),
    "a trailer": (HEAD + b"\r\n0\r\nX-Long: ", b"x"),
    "blank lines": (b"", b"\r\n"),
    "a body in tiny chunks": (HEAD + b"\r\n", TINY_CHUNK),
}
LOOP_CHECK_S = 0.01


def add_raw_server(context, what):
    start, piece = ANSWERS[what]

    async def respond(req, write):
        id_line = f"{req.id_name}: {req.request_id}".encode()
        await raw_server.flood(write, start.replace(b"ID", id_line), piece)

    context.raw = raw_server.RawServer(respond, slots=20)
    context.add_cleanup(context.raw.close)


class LoopWatch:
    """Measures for how long an event loop runs nothing else."""

    def __init__(self, rig):
        self._rig = rig
        self._stop = threading.Event()
        self.longest_s = 0.0
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def _watch(self):
        while not self._stop.wait(LOOP_CHECK_S):
            began = time.monotonic()
            self._rig.do(asyncio.sleep(0))
            self.longest_s = max(self.longest_s, time.monotonic() - began)

    def stop(self):
        """Ends the measurement."""
        self._stop.set()
        self._thread.join()


@given("a target that sends {what} without end")
def add_flooding_target(context, what):
    add_raw_server(context, what)
    context.rig.announce(context.raw)
    context.watch = LoopWatch(context.rig)
    context.add_cleanup(context.watch.stop)


@given("an entry whose answers may take {size:d} MB in all")
def start_with_little_memory(context, size):
    context.rig = gateway_lib.Rig(buffer_bytes=size * MB)
    context.add_cleanup(context.rig.close)
    context.rig.set_routes(gateway_lib.ROUTES, 1)


@given("an entry whose requests may have bodies of {size:d} MB")
def start_with_short_bodies(context, size):
    context.rig = gateway_lib.Rig()
    context.add_cleanup(context.rig.close)
    context.rig.set_routes(gateway_lib.ROUTES, 1, body_bytes=size * MB)


def read_resident_mb():
    """Returns the resident size of this process, which runs the entry."""
    pages = int(pathlib.Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize() / MB


class MemoryWatch:
    """Measures how much this process grows, until it is stopped."""

    def __init__(self):
        self._stop = threading.Event()
        self._before = read_resident_mb()
        self.growth_mb = 0.0
        self._thread = threading.Thread(target=self._watch)
        self._thread.start()

    def _watch(self):
        while not self._stop.wait(LOOP_CHECK_S):
            growth = read_resident_mb() - self._before
            self.growth_mb = max(self.growth_mb, growth)

    def stop(self):
        """Ends the measurement."""
        self._stop.set()
        self._thread.join()


@then("the process grew by at most {most:d} MB")
def check_growth(context, most):
    context.memory.stop()
    assert context.memory.growth_mb <= most, context.memory.growth_mb


def watch_memory(context):
    context.memory = MemoryWatch()
    context.add_cleanup(context.memory.stop)


@given("a backend server that sends {what} without end")
def start_flooding_server(context, what):
    add_raw_server(context, what)


@when("{count:d} bookings are sent at once")
def send_bookings(context, count):
    watch_memory(context)
    with concurrent.futures.ThreadPoolExecutor(count) as executor:
        futs = [
            executor.submit(context.rig.call, "POST", f"/book/{number}", b"x")
            for number in range(count)
        ]
        context.answers = [fut.result(30) for fut in futs]


@when("an entry sends it a request")
def send_through_pool(context):
    async def send():
        clk = clock.MonotonicClock()
        http = pool.PoolClient({}, clk)
        req = messages.Request("dossier", "POST", "/a", [], b"", 0.0)
        until = clk.now() + 3000
        try:
            return await http.send(context.raw.address, req, [], until)
        finally:
            await http.close()

    context.sent = asyncio.run(send())


@when("a caller sends {what} without end")
def send_endless_request(context, what):
    start, piece = REQUESTS[what]
    piece = piece * (raw_server.PIECE_BYTES // len(piece))
    watch_memory(context)
    caller = context.rig.connect()
    context.add_cleanup(caller.close)
    context.written = 0
    try:
        caller.send_raw(start)
        while context.written < raw_server.MAX_FLOOD_BYTES:
            caller.send_raw(piece)
            context.written += len(piece)
    except (ConnectionError, TimeoutError):
        return


@then("each of them ends with status {status:d}")
def check_statuses(context, status):
    found = [answer.status for answer in context.answers]
    assert set(found) == {status}, found


@then("the target could write at most {most:d} MB")
def check_written(context, most):
    assert context.raw.requests, "nothing reached the target"
    written = sum(context.raw.written)
    assert written <= most * MB, written


@then(
    "the entry's event loop was never blocked for as long as a route's timeout"
)
def check_loop(context):
    context.watch.stop()
    most_ms = gateway_lib.ROUTES[0]["timeout_ms"]
    assert context.watch.longest_s * 1000 < most_ms, context.watch.longest_s


@then("the request may have run and has no answer")
def check_broken(context):
    failure = context.sent.failure()
    assert failure.kind is client_lib.FailureKind.BROKEN, failure


@then("the entry has ended the connection after at most {most:d} MB")
def check_ended(context, most):
    assert context.written <= most * MB, context.written


@then("{count:d} lookups are answered completely")
def check_lookups(context, count):
    for number in range(count):
        answer = context.rig.call(path=f"/look/{number}")
        assert answer.status == 200, answer
