"""Steps of the callers' port alone, with a slow application."""

import asyncio
import time
from unittest import mock

import anyio
from behave import given
from behave import then
from behave import when

from bench import deployment as deployment_lib
from cardamomkeel.callers import http1

REQUEST = b"GET /own HTTP/1.1\r\nHost: a\r\n\r\n"
PART = b"x" * 1000
MB = 1024 * 1024


class _App:
    """Answers in two parts, with a pause before each."""

    def __init__(self, duration_ms):
        self.running = 0
        self._pause_s = duration_ms / 2000

    async def __call__(self, scope, receive, send):
        self.running += 1
        await asyncio.sleep(self._pause_s)
        await send({"type": "http.response.start", "status": 200})
        await send(_part(more=True))
        await asyncio.sleep(self._pause_s)
        await send(_part(more=False))


def _part(more):
    return {"type": "http.response.body", "body": PART, "more_body": more}


async def _read(reader):
    """Returns the bytes up to the end of a connection, and its time."""
    try:
        data = await reader.read()
    except ConnectionError:
        data = b""
    return data, time.monotonic()


async def _connect(address):
    host, port = address.rsplit(":", 1)
    return await asyncio.open_connection(host, int(port))


async def _is_open(address):
    try:
        _, writer = await _connect(address)
    except OSError:
        return False
    writer.close()
    return True


@given(
    "a callers' port whose calls take {duration_ms:d} ms, with two parts each"
)
def make_app(context, duration_ms):
    context.app = _App(duration_ms)


@when(
    "it is stopped with {calls:d} calls in flight and {unused:d} unused "
    "connections"
)
def stop(context, calls, unused):
    async def run():
        address = deployment_lib.free_address()
        stopped = anyio.Event()
        port = asyncio.create_task(http1.serve(context.app, address, stopped))
        while not await _is_open(address):
            await asyncio.sleep(0.01)
        opened = [await _connect(address) for _ in range(calls + unused)]
        for _, writer in opened[:calls]:
            writer.write(REQUEST)
        while context.app.running < calls:
            await asyncio.sleep(0.01)
        reads = [asyncio.create_task(_read(r)) for r, _ in opened]
        stopped.set()
        context.stopped_at = time.monotonic()
        await asyncio.sleep(0.05)
        context.is_open = await _is_open(address)
        await port
        context.ended_at = time.monotonic()
        got = await asyncio.gather(*reads)
        for _, writer in opened:
            writer.close()
        context.calls, context.unused = got[:calls], got[calls:]

    asyncio.run(run())


def _is_complete(data):
    return data.startswith(b"HTTP/1.1 200") and data.endswith(b"\r\n0\r\n\r\n")


@then("each of the calls got its complete answer and its connection was closed")
def check_calls(context):
    for data, _ in context.calls:
        assert _is_complete(data), data
        assert data.count(PART) == 2, data


@then("none of the calls got a complete answer")
def check_no_call(context):
    for data, _ in context.calls:
        assert not _is_complete(data), data


@then("the unused connections were closed before the calls ended")
def check_unused(context):
    first = min(at for _, at in context.calls)
    assert all(not data and at < first for data, at in context.unused)


@then("no new connection was accepted")
def check_closed(context):
    assert not context.is_open


@then("the port had ended within {limit_ms:d} ms of the last answer")
def check_ended(context, limit_ms):
    last = max(at for _, at in context.calls)
    assert (context.ended_at - last) * 1000 < limit_ms


@then("the port had ended within {limit_ms:d} ms of the stop")
def check_stopped(context, limit_ms):
    assert (context.ended_at - context.stopped_at) * 1000 < limit_ms


class _LongApp:
    """Writes a long answer for as long as its caller reads."""

    def __init__(self):
        self.written = 0
        self.ended = asyncio.Event()

    async def __call__(self, scope, receive, send):
        scope[http1.CANCELLABLE] = True
        try:
            await send({"type": "http.response.start", "status": 200})
            while self.written < 20 * MB:
                part = PART * 64
                await send(
                    {
                        "type": "http.response.body",
                        "body": part,
                        "more_body": True,
                    }
                )
                self.written += len(part)
        finally:
            self.ended.set()


@given(
    "a callers' port that closes connections with answers unread for "
    "{unread_ms:d} ms"
)
def set_unread(context, unread_ms):
    patch = mock.patch.object(http1, "UNREAD_TIMEOUT_MS", float(unread_ms))
    patch.start()
    context.add_cleanup(patch.stop)


@when("a caller requests 20 MB and reads nothing")
def read_nothing(context):
    async def run():
        app = _LongApp()
        address = deployment_lib.free_address()
        stopped = anyio.Event()
        port = asyncio.create_task(http1.serve(app, address, stopped))
        while not await _is_open(address):
            await asyncio.sleep(0.01)
        reader, writer = await _connect(address)
        writer.transport.pause_reading()
        writer.write(REQUEST)
        started = time.monotonic()
        with anyio.move_on_after(5):
            await app.ended.wait()
        context.elapsed_ms = (time.monotonic() - started) * 1000
        context.written = app.written
        stopped.set()
        writer.close()
        await port

    asyncio.run(run())


@then(
    "within {limit_ms:d} ms its call has ended with no more than {max_mb:d} MB "
    "written"
)
def check_unread(context, limit_ms, max_mb):
    assert context.elapsed_ms < limit_ms, context.elapsed_ms
    assert context.written <= max_mb * MB, context.written


@when("a call offers an upgrade, and another one follows at once")
def call_behind_offer(context):
    offer = b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
    closing = b"Connection: close\r\n\r\n"
    first = REQUEST.replace(b"\r\n\r\n", b"\r\n" + offer)
    second = REQUEST.replace(b"\r\n\r\n", b"\r\n" + closing)

    async def run():
        address = deployment_lib.free_address()
        stopped = anyio.Event()
        port = asyncio.create_task(http1.serve(context.app, address, stopped))
        while not await _is_open(address):
            await asyncio.sleep(0.01)
        reader, writer = await _connect(address)
        writer.write(first + second)
        data, _ = await asyncio.wait_for(_read(reader), 5)
        writer.close()
        stopped.set()
        await port
        return data

    context.answers = asyncio.run(run())


@then("both calls are answered")
def check_both(context):
    assert context.answers.count(b"HTTP/1.1 200") == 2, context.answers
