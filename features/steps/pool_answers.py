"""Steps of the connection pool, with a server that sends scripted answers."""

import asyncio

from behave import given
from behave import then
from behave import when
from returns import result

from cardamomkeel import clock
from cardamomkeel.backend_servers import pool
from cardamomkeel.routing import messages

DEADLINE_MS = 400.0
LATE_AFTER_S = 0.6
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
NO_ANSWER = b""
# Marks an answer that is sent only after the deadline of the request.
LATE = b"<late>"

ANSWERS = {
    "complete": OK,
    "chunked": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"1\r\no\r\n1\r\nk\r\n0\r\n\r\n"
    ),
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n" + OK,
    "early hints": b"HTTP/1.1 103 Early\r\nLink: a\r\n\r\n" + OK,
    "no content": b"HTTP/1.1 204 No\r\n\r\n",
    "not modified": b"HTTP/1.1 304 No\r\nContent-Length: 9\r\n\r\n",
    "last": b"HTTP/1.1 200 OK\r\nConnection: close\r\n" + OK[17:],
    "surplus": OK + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n",
    "truncated in the body": b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok",
    "truncated in a chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n9\r\nok"
    ),
    "truncated after a chunk": (
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
    ),
    "truncated in the header": b"HTTP/1.1 200 OK\r\nContent-Le",
    "without a length": b"HTTP/1.1 200 OK\r\n\r\nok",
    "two lengths": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"
    ),
    "length and chunks": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
    ),
    "switched protocol": b"HTTP/1.1 101 Switch\r\nUpgrade: x\r\n\r\n",
    "no HTTP": b"hello\r\n\r\n",
    "nothing": NO_ANSWER,
    "late": LATE + b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad",
    "length of a body left out": (
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n"
    ),
}


class ScriptedServer:
    """Answers each request with the next answer of a script, then `OK`.

    Attributes:
        requests: The heads of the received requests.
        used: The number of requests received on each connection.
        tasks: The tasks that serve the connections.
    """

    def __init__(self, script: list[bytes]):
        self._script = script
        self.requests: list[bytes] = []
        self.used: list[int] = []
        self.tasks: set[asyncio.Task] = set()

    async def handle(self, reader, writer):
        """Serves one connection."""
        self.tasks.add(asyncio.current_task())
        self.used.append(0)
        number = len(self.used) - 1
        try:
            while True:
                self.requests.append(await reader.readuntil(b"\r\n\r\n"))
                self.used[number] += 1
                answer = self._script.pop(0) if self._script else OK
                await self._write(writer, answer)
                if answer.startswith(LATE) or answer == NO_ANSWER:
                    continue
                if not answer.endswith((OK, b"\r\n\r\n", b"bad")):
                    break
        except (asyncio.IncompleteReadError, OSError):
            pass
        writer.close()

    async def _write(self, writer, answer):
        if answer.startswith(LATE):
            await asyncio.sleep(LATE_AFTER_S)
        writer.write(answer.removeprefix(LATE))
        await writer.drain()


async def _run_script(script, methods):
    scripted = ScriptedServer(script)
    server = await asyncio.start_server(scripted.handle, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    clk = clock.MonotonicClock()
    client = pool.PoolClient({}, clk)
    results = []
    for method in methods:
        req = messages.Request("s", method, "/own", [], b"", 0.0)
        until = clk.now() + DEADLINE_MS
        address = f"127.0.0.1:{port}"
        results.append(await client.send(address, req, [], until))
    await client.close()
    await asyncio.wait(scripted.tasks)
    server.close()
    return scripted, results


@given('a backend server whose first answer is "{name}"')
def script_answer(context, name):
    context.script = [ANSWERS[name]]


@when("a {method} request and then another one are sent to it")
def send_two(context, method):
    context.scripted, context.results = asyncio.run(
        _run_script(context.script, [method, "POST"])
    )


def _describe(sent):
    if not isinstance(sent, result.Success):
        return sent.failure().kind.value
    answer = sent.unwrap()
    return f"{answer.status} {answer.body.decode()}".strip()


@then('the first one ended as "{ended}"')
def check_first(context, ended):
    got = _describe(context.results[0])
    assert got == ended, (got, context.results)


@then("the other one got its own answer")
def check_second(context):
    got = _describe(context.results[1])
    assert got == "200 ok", (got, context.results)


@then("the server got {count:d} requests")
def check_requests(context, count):
    assert len(context.scripted.requests) == count, context.scripted.requests


@then("the connection was used {word} again")
def check_reuse(context, word):
    used_again = max(context.scripted.used) > 1
    assert used_again == (word != "never"), context.scripted.used
