"""Steps about a server of callers with little room, in one process."""

import asyncio
import socket

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.gateway import held_memory
from cardamomkeel.gateway import http_server
from cardamomkeel.gateway import messages

HOST = "127.0.0.1"
LIMIT = 400_000
LONG = 8_000_000
READ_WITHIN_S = 10
HEAD = b"GET /%s HTTP/1.1\r\nHost: desk.example\r\n\r\n"


class Handler:
    """Answers lookups after some time, and anything else with 404."""

    def __init__(self, takes_s=0.0):
        self.takes_s = takes_s
        self.handled = []

    async def handle(self, req):
        """Returns the response to a request."""
        self.handled.append((req.method, req.target))
        if not req.target:
            return messages.Response(404, [], b"no route")
        await asyncio.sleep(self.takes_s)
        size = LONG if req.target == "/long" else 10
        return messages.Response(200, [], b"x" * size)


class Server:
    """A server of callers on a port of its own."""

    def __init__(self, limit, takes_s=0.0, connections=0):
        self.loop = asyncio.new_event_loop()
        clk = clock.MonotonicClock()
        self.memory = held_memory.HeldMemory(limit, clk)
        self.handler = Handler(takes_s)
        self.server = http_server.HttpServer(
            self.handler, clk, memory=self.memory, max_connections=connections
        )
        with socket.create_server((HOST, 0)) as free:
            self.port = free.getsockname()[1]
        self.run(self.server.start(f"{HOST}:{self.port}"))

    def run(self, coro):
        """Runs a coroutine to its end."""
        return self.loop.run_until_complete(
            asyncio.wait_for(coro, READ_WITHIN_S)
        )

    def connect(self, **options):
        """Opens a connection."""
        return self.run(asyncio.open_connection(HOST, self.port, **options))

    def close(self):
        """Ends the server and its connections."""
        self.server.close()
        self.run(self.server.stop_listening())
        self.loop.close()


def start(context, *args, **kwargs):
    context.server = Server(*args, **kwargs)
    context.add_cleanup(context.server.close)


@given("a server that is nearly out of memory and whose lookups take 300 ms")
def start_nearly_full(context):
    start(context, LIMIT, takes_s=0.3)
    context.server.memory.budget.held += LIMIT - 30_000
    context.before = context.server.memory.budget.held


@when("a caller sends a lookup, and right behind it a body of {size:d} bytes")
def send_both(context, size):
    reader, writer = context.server.connect()
    post = b"POST /book HTTP/1.1\r\nHost: desk.example\r\nContent-Length: %d"
    writer.write(HEAD % b"look" + post % size + b"\r\n\r\n" + b"x" * size)
    context.answers = context.server.run(reader.read(-1))
    writer.close()


@then("the caller gets 200, then 503 with a Retry-After")
def check_answers(context):
    lines = context.answers.split(b"\r\n")
    statuses = [line.split()[1] for line in lines if b"HTTP/1.1 " in line]
    assert statuses == [b"200", b"503"], context.answers
    assert b"Retry-After" in context.answers, context.answers


@then("the server has handled just the lookup")
def check_handled(context):
    assert context.server.handler.handled == [("GET", "/look")]


@then("the server holds no bytes for the caller any more")
def check_freed(context):
    server = context.server

    async def wait():
        while server.memory.budget.held != context.before:
            await asyncio.sleep(0.02)

    server.run(wait())


@given("a server with room for {count:d} connections")
def start_small(context, count):
    start(context, 4 * LONG, connections=count)


@given("an unused connection, and a caller that steadily takes 8 MB")
def open_two(context):
    server = context.server
    context.unused = server.connect()
    # A writer that is not kept closes its connection.
    context.reader, context.writer = server.connect(limit=20_000)
    context.writer.write(HEAD % b"long")
    context.got = 0
    for _ in range(10):
        context.got += len(server.run(context.reader.read(50_000)))
    # The unused connection has moved last.
    context.unused[1].write(HEAD % b"look")
    server.run(context.unused[0].readuntil(b"x" * 10))


@when("a third connection is opened")
def open_third(context):
    context.third = context.server.connect()


@then("the unused connection is ended")
def check_unused_ended(context):
    try:
        left = context.server.run(context.unused[0].read(-1))
    except ConnectionError:
        left = b""
    assert left == b"", left


@then("the caller gets its whole answer")
def check_whole(context):
    while context.got < LONG:
        got = context.server.run(context.reader.read(200_000))
        assert got, f"ended after {context.got} bytes"
        context.got += len(got)
