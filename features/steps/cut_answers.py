"""Steps about answers that end before their end."""

import asyncio
import contextlib
import socket
import struct

from behave import given
from behave import then
from behave import when

from bench import fake_servers
from bench import gateway as gateway_lib
from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel.backend_servers import pool_connection
from cardamomkeel.gateway import upstream_connection
from features import raw_server

HOST = "127.0.0.1"
ID_HEADER = b"request-id"
REQUEST_ID = b"r-1"
ID_LINE = b"Request-Id: r-1\r\n"
TIMEOUT_S = 5.0
# Closes with a reset instead of an end.
RESET = struct.pack("ii", 1, 0)
HEAD = b"HTTP/1.1 200 OK\r\n" + ID_LINE
OK = HEAD + b"Content-Length: 2\r\n\r\nok"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
STRAY = b"HTTP/1.1 200 OK\r\nRequest-Id: r-0\r\nContent-Length: 2\r\n\r\nno"
ANSWERS = {
    "a length": OK,
    "chunks and a trailer": CHUNKED + b"2\r\nok\r\n0\r\nX-Sum: 1\r\n\r\n",
    "chunks, one a byte": CHUNKED + b"1\r\no\r\n1;a=b\r\nk\r\n0\r\n\r\n",
    "an interim answer before": b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + OK,
    "HTTP/1.0 with a length": OK.replace(b"1.1", b"1.0"),
    "an empty body": HEAD + b"Content-Length: 0\r\n\r\n",
    "no content": b"HTTP/1.1 204 No\r\n" + ID_LINE + b"\r\n",
    "no length": HEAD + b"Connection: close\r\n\r\nok",
    "HTTP/1.0, no length": HEAD.replace(b"1.1", b"1.0") + b"\r\nok",
    "an unknown coding": HEAD + b"Transfer-Encoding: gzip\r\n\r\nok",
    "a stray one before": STRAY + OK,
}


def make_connection(client, address, clk):
    """Returns an unopened connection of a gateway or an entry."""
    share = buffers.unlimited()
    if client == "a gateway":
        return upstream_connection.TargetConnection(
            address, clk, lambda _: None, ID_HEADER, b"leaving", 1000, share
        )
    return pool_connection.Connection(
        address, clk, lambda _: None, share, ID_HEADER
    )


class CuttingServer:
    """Answers the last request on each connection with a part of an answer.

    Attributes:
        address: Host and port.
    """

    def __init__(self, first, part, end):
        self._script = [*first, None]
        self._part = part
        self._end = end
        self._tasks = []
        self.address = ""

    async def start(self):
        """Starts to listen."""
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"{HOST}:{port}"

    async def close(self):
        """Stops listening, and waits for the connections."""
        self._server.close()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(self, reader, writer):
        self._tasks.append(asyncio.current_task())
        for answer in self._script:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self._part if answer is None else answer)
            with contextlib.suppress(ConnectionError):
                await writer.drain()
        if self._end == "reset":
            # A reset discards what the peer has not read.
            await asyncio.sleep(0.005)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            writer.transport.abort()
        writer.close()


async def is_accepted(client, method, part, is_used, end):
    """Returns whether a part of an answer is taken for a whole one."""
    server = CuttingServer([OK] if is_used else [], part, end)
    await server.start()
    loop = asyncio.get_running_loop()
    host, port = server.address.split(":")
    clk = clock.MonotonicClock()
    _, conn = await loop.create_connection(
        lambda: make_connection(client, server.address, clk), host, port
    )
    head = f"{method} /own HTTP/1.1\r\nHost: a\r\n\r\n".encode()
    try:
        if is_used:
            conn.expect(REQUEST_ID)
            answer = await conn.request(
                head.replace(b"HEAD", b"GET"), b"", False
            )
            assert answer.status == 200, answer
        conn.expect(REQUEST_ID)
        await asyncio.wait_for(
            conn.request(head, b"", method == "HEAD"), TIMEOUT_S
        )
    except pool_connection.ProtocolError:
        return False
    finally:
        conn.close()
        await server.close()
    return True


@given("a backend server that answers {method} with {answer}")
def choose_answer(context, method, answer):
    context.method = method
    context.whole = ANSWERS[answer]
    if method == "HEAD":
        context.whole = context.whole.partition(b"\r\n\r\n")[0] + b"\r\n\r\n"


@when(
    "{client} is answered with each part of it, on {connection}, that ends "
    "with a {end}"
)
def answer_with_parts(context, client, connection, end):
    is_used = connection == "a used connection"

    async def send_all():
        return [
            size
            for size in range(1, len(context.whole) + 1)
            if await is_accepted(
                client, context.method, context.whole[:size], is_used, end
            )
        ]

    context.accepted = asyncio.run(send_all())


@then("only the whole answer is accepted")
def check_only_whole(context):
    assert context.accepted == [len(context.whole)], context.accepted


@then("of the parts {what} is accepted")
def check_accepted(context, what):
    head_end = context.whole.index(b"\r\n\r\n") + 4
    expected = {
        "nothing": [],
        "only the whole answer": [len(context.whole)],
        "what has the whole head": list(
            range(head_end, len(context.whole) + 1)
        ),
    }
    assert context.accepted == expected[what], context.accepted


# Whole programs.


@given(
    "an entry of the platform that uses only a server that cuts its answers "
    "{where}"
)
def start_cutting(context, where):
    async def respond(req, write):
        head, _, body = req.make_answer("0123456789").partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")
        # `truncate` finds the length behind the status line, and a header at
        # the end.
        lines.append(b"Content-Type: application/json")
        head = b"\r\n".join(lines) + b"\r\n\r\n"
        await write(fake_servers.truncate(head, body, where))
        raise ConnectionError

    context.raw = raw_server.RawServer(respond)
    context.add_cleanup(context.raw.close)
    context.rig = gateway_lib.Rig()
    context.add_cleanup(context.rig.close)
    context.rig.set_routes(gateway_lib.ROUTES, 1)
    context.rig.announce(context.raw)
    # The routes of bookings use the same service.
    context.paths = {
        "lookups": ("GET", "/look/1", b""),
        "bookings": ("POST", "/book/1", b"an urn"),
    }


@when("{count:d} {kind} are sent on one connection at once")
def send_pipelined(context, count, kind):
    conn = context.rig.connect()
    context.add_cleanup(conn.close)
    for _ in range(count):
        conn.send(*context.paths[kind])
    context.statuses = []
    for _ in range(count):
        try:
            context.statuses.append(conn.receive().status)
        except (EOFError, OSError) as exc:
            # An incomplete answer would be in the error.
            assert not exc.args or not exc.args[0], exc
            break


@then(
    "none of them is answered with success, and each gets a whole answer or "
    "the end of its connection"
)
def check_failed(context):
    assert context.statuses, "no answer"
    assert set(context.statuses) <= {502, 503, 504}, context.statuses


@given("the backend servers cut their answers {where}")
def cut_answers(context, where):
    context.deployment.call_servers("/set", {"cut_at": where})
