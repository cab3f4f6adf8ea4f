"""Steps of long bodies that callers fetch through real entries."""

import asyncio
import contextlib
import json
import pathlib
import socket
import time

from behave import given
from behave import then
from behave import when

from bench import deployment as deployment_lib
from bench import long_bodies

MB = 1024 * 1024
SLOTS = 50
# The default latency of the fake backend servers.
LATENCY_MS = 5
HALF_BODY = 512 * 1024
TIMEOUT_S = 15.0
# A slow caller needs at least 320 reads of 64 KB, or some seconds, for 20 MB.
SLOW_PAUSE_S = 0.008
STOPPED_S = 4.0
# Long enough for an entry to answer before a request is complete.
PAUSE_S = 0.3
# How much of a body the message of a failed check shows.
MESSAGE_BYTES = 400


def _find_entries(context, service):
    """Returns the names of the owner of a target, and of another entry."""
    target = context.deployment.server_addresses[service][0]
    for name in context.deployment.entries:
        if target in context.deployment.dump_entry(name).get("owned", {}):
            others = [e for e in context.deployment.entries if e != name]
            return name, others[0]
    raise LookupError("nobody owns the target")


def _address(context, service, path):
    owner, other = _find_entries(context, service)
    name = owner if "owner" in path else other
    return context.deployment.callers_addresses[name]


def _headers(size_mb, framing="", truncate_mb=0):
    headers = {"stream-bytes": str(size_mb * MB)}
    if "chunks" in framing:
        headers["stream-chunked"] = "1"
    if truncate_mb:
        headers["stream-cut-after"] = str(truncate_mb * MB)
    return headers


def _fetch(context, path, headers, pause_s=0.0, service="dossier"):
    caller = long_bodies.Caller(_address(context, service, path), pause_s)
    return asyncio.run(caller.call(service, headers))


async def _fetch_slowly(address, headers):
    """Fetches an answer; retries while a full queue rejects the request."""
    until = time.monotonic() + TIMEOUT_S
    while True:
        caller = long_bodies.Caller(address, SLOW_PAUSE_S)
        got = await caller.call("dossier", headers)
        if got.outcome != "not-run" or time.monotonic() > until:
            return got
        await asyncio.sleep(PAUSE_S)


@given("connections to the backend servers of dossier have been used")
def use_connections(context):
    # A connection that was just opened never counts as unresponsive.
    for path in ("from the owner", "through another entry"):
        assert _fetch(context, path, _headers(1)).outcome == "answered"
    time.sleep(PAUSE_S)


@when("dossier takes {latency_ms:d} ms to answer")
def set_latency(context, latency_ms):
    asked = {"where": {"service": "dossier"}, "latency_ms": latency_ms}
    context.deployment.call_servers("/set", asked)


@then("dossier answers at once again")
def reset_latency(context):
    set_latency(context, LATENCY_MS)


@when("a caller fetches {size:d} MB of dossier {path}, {framing}")
def fetch(context, size, path, framing):
    framing, _, truncated = framing.partition(", truncated after ")
    context.size = size * MB
    truncate_mb = int(truncated.split()[0]) if truncated else 0
    headers = _headers(size, framing, truncate_mb)
    context.fetched = [_fetch(context, path, headers)]


@then("it got the complete answer")
@then("each of them got the complete answer")
def check_complete(context):
    expected = long_bodies.hash_body(context.size)
    for got in context.fetched:
        assert got.is_complete, got
        assert got.outcome == "answered", (got, got.body[:MESSAGE_BYTES])
        assert got.body_hash == expected, got


@then("it detects that the answer is incomplete")
def check_truncated(context):
    for got in context.fetched:
        assert got.size < context.size, got
        assert not got.is_complete or got.outcome != "answered", got


def _count_in_use(context):
    """Returns the number of slots in use and of running requests."""
    owner, _ = _find_entries(context, "dossier")
    target = context.deployment.server_addresses["dossier"][0]
    owned = context.deployment.dump_entry(owner)["owned"][target]
    servers = context.deployment.call_servers("/servers")
    running = sum(server["in_flight"] for server in servers)
    return SLOTS - owned["free"], running


@then("its slot was in use while the backend server was writing")
def check_in_use(context):
    assert context.in_use == (1, 1), context.in_use


@then("{service} has all of its slots free within {seconds:d} s")
def check_free(context, service, seconds):
    target = context.deployment.server_addresses[service][0]
    seen = {}

    def is_free():
        servers = context.deployment.call_servers("/servers")
        seen["running"] = [s for s in servers if s["in_flight"]]
        seen["owned"] = {}
        for name in context.deployment.entries:
            owned = context.deployment.dump_entry(name).get("owned", {})
            if target in owned:
                seen["owned"][name] = owned[target]
        if seen["running"] or not seen["owned"]:
            return False
        return next(iter(seen["owned"].values()))["free"] == SLOTS

    try:
        deployment_lib.wait_for(is_free, seconds, "all slots are free")
    except TimeoutError:
        print(seen)
        raise


@when("a caller slowly fetches {size:d} MB of dossier through another entry")
def fetch_slowly(context, size):
    context.size = size * MB
    _, context.killed = _find_entries(context, "dossier")


@when("that other entry is killed during the answer")
def kill_during_answer(context):
    entry = context.deployment.entries[context.killed]
    address = context.deployment.callers_addresses[context.killed]

    async def run():
        caller = long_bodies.Caller(address, SLOW_PAUSE_S)
        headers = _headers(context.size // MB)
        task = asyncio.create_task(caller.call("dossier", headers))
        while caller.result.size < MB:
            await asyncio.sleep(SLOW_PAUSE_S)
        entry.kill()
        return await task

    context.fetched = [asyncio.run(run())]
    assert context.fetched[0].outcome == "answered", context.fetched


async def _book_and_disconnect(caller, headers):
    task = asyncio.create_task(caller.call("keepsake", headers))
    await caller.head_received.wait()
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task


@when('a booking "{key}" of keepsake is answered with {size:d} MB, {end}')
def book(context, key, size, end):
    truncate_mb = int(end.split()[-2]) if end.startswith("truncated") else 0
    headers = _headers(size, "", truncate_mb) | {"idempotency-key": key}
    if "disconnects" in end:
        address = _address(context, "keepsake", "another")
        caller = long_bodies.Caller(address, SLOW_PAUSE_S)
        asyncio.run(_book_and_disconnect(caller, headers))
        return
    got = _fetch(context, "another", headers, service="keepsake")
    assert got.is_complete == (not truncate_mb), got
    assert got.outcome == "answered", got


@then('a retry of "{key}" is answered as unknown, with "{words}"')
def check_retry(context, key, words):
    headers = {"idempotency-key": key}
    got = _fetch(context, "owner", headers, service="keepsake")
    assert got.is_complete, got
    assert got.outcome == "unknown", got
    assert words in json.loads(got.body)["message"], got


@when(
    "a caller with a deadline of {deadline_ms:d} ms stops reading {size:d} MB "
    "of dossier"
)
def stop_reading(context, deadline_ms, size):
    context.size = size * MB
    address = _address(context, "dossier", "another")

    async def run():
        caller = long_bodies.Caller(address, STOPPED_S)
        headers = _headers(size)
        task = asyncio.create_task(
            caller.call("dossier", headers, deadline_ms=deadline_ms)
        )
        await caller.head_received.wait()
        context.in_use = await asyncio.to_thread(_count_in_use, context)
        # The slots are checked while the reader is stopped.
        await asyncio.to_thread(check_free, context, "dossier", 3)
        caller.pause_s = 0.0
        return await task

    context.fetched = [asyncio.run(run())]


def _read_rss(pid):
    """Returns the peak resident size of a process, in MB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / 1024
    raise LookupError(pid)


def _read_sizes(context):
    entries = context.deployment.entries
    return {name: _read_rss(entry.pid) for name, entry in entries.items()}


@when(
    "{count:d} slow callers fetch {size:d} MB of dossier each, through both "
    "entries"
)
def fetch_many(context, count, size):
    context.size = size * MB
    addresses = list(context.deployment.callers_addresses.values())
    context.sizes = _read_sizes(context)

    async def run():
        headers = _headers(size)
        chosen = [addresses[n % len(addresses)] for n in range(count)]
        return await asyncio.gather(
            *[_fetch_slowly(address, headers) for address in chosen]
        )

    context.fetched = asyncio.run(run())


@then("no entry has grown by more than {limit:d} MB")
def check_sizes(context, limit):
    for name, size in _read_sizes(context).items():
        grown = size - context.sizes[name]
        assert grown <= limit, (name, grown)


@then("no entry buffers bytes of bodies any more")
def check_no_bytes_held(context):
    def is_empty():
        for address in context.deployment.entry_operators.values():
            text = context.deployment.call(address, "/metrics").text
            rows = [
                row
                for row in text.splitlines()
                if row.startswith("cardamomkeel_held_bytes{")
            ]
            assert len(rows) == 3, text
            if any(float(row.split()[-1]) for row in rows):
                return False
        return True

    deployment_lib.wait_for(is_empty, 2, "no bytes are held")


def _connect(address):
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), TIMEOUT_S)


@when("{count:d} callers send half of a request of 1 MB each")
def send_halves(context, count):
    context.held = contextlib.ExitStack()
    context.add_cleanup(context.held.close)
    address = _address(context, "dossier", "owner")
    for _ in range(count):
        _send_half(context.held.enter_context(_connect(address)))


def _send_half(sock):
    sock.sendall(
        b"POST /v1/call/dossier/own HTTP/1.1\r\nHost: a\r\n"
        b"Content-Length: %d\r\n\r\n" % MB + b"x" * HALF_BODY
    )


def _send_mb(context, service="dossier", headers=None):
    address = _address(context, "dossier", "owner")
    caller = long_bodies.Caller(address)
    return asyncio.run(caller.call(service, headers or {}, b"x" * MB))


def _check_refused(got, outcome):
    assert got.outcome == outcome, got
    assert json.loads(got.body)["remedy"], got


@then("a request of 1 MB is refused as not run, with a remedy")
def check_full(context):
    _check_refused(_send_mb(context), "not-run")


@then("one that is still being sent gets the same answer")
def check_full_while_sent(context):
    with _connect(_address(context, "dossier", "owner")) as sock:
        _send_half(sock)
        time.sleep(PAUSE_S)
        sock.sendall(b"x" * HALF_BODY)
        got = _read_all(sock)
    assert got.startswith(b"HTTP/1.1 503 "), got
    assert b"cardamomkeel-outcome: not-run" in got, got


def _read_all(sock):
    got = b""
    while part := sock.recv(MB):
        got += part
    return got


@then("a retry of a booking with 1 MB is refused as unknown")
def check_full_retry(context):
    got = _send_mb(context, "keepsake", {"idempotency-key": "again"})
    _check_refused(got, "unknown")


@then("a lookup without a body is answered")
def check_lookup(context):
    got = _fetch(context, "owner", {})
    assert got.is_complete and got.outcome == "answered", got


@then("a request of 1 MB is answered once those callers have disconnected")
def check_accepted_again(context):
    context.held.close()
    deployment_lib.wait_for(
        lambda: _send_mb(context).outcome == "answered", 3, "it is answered"
    )


@when("one caller opens {count:d} connections to an entry")
def open_many(context, count):
    context.held = contextlib.ExitStack()
    context.add_cleanup(context.held.close)
    context.address = _address(context, "dossier", "owner")
    for _ in range(count):
        context.held.enter_context(_connect(context.address))


@then("one more is refused as not run, with a remedy")
def check_one_more(context):
    with _connect(context.address) as sock:
        got = _read_all(sock)
    head, _, body = got.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 503 "), got
    assert b"cardamomkeel-outcome: not-run" in head, got
    assert json.loads(body)["remedy"], got


@then("another one is served once they are closed")
def check_served(context):
    context.held.close()
    deployment_lib.wait_for(
        lambda: _fetch(context, "owner", {}).outcome == "answered",
        3,
        "it is served",
    )
