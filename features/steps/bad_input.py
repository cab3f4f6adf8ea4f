"""Steps that send bad input as raw bytes to the callers' port of an entry."""

import contextlib
import json
import socket
import time

from behave import given
from behave import then
from behave import when
import httpx

from bench import deployment as deployment_lib

TIMEOUT_S = 15.0
READ_BYTES = 65536
OUTCOME = b"cardamomkeel-outcome: "

LOOKUP = b"GET /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n\r\n"
REQUESTS = {
    "no HTTP": b"hello there\r\n\r\n",
    "an unknown method": b"FETCH /v1/call/dossier/a HTTP/1.1\r\n\r\n",
    "a control character in the path": (
        b"GET /v1/call/dossier/a\x01b HTTP/1.1\r\nHost: a\r\n\r\n"
    ),
    "a bare line feed in a header": (
        b"GET /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"X-One: a\nInjected\x00: b\r\n\r\n"
    ),
    "an oversized header": (
        b"GET /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\nX-Large: "
        + b"x" * 200_000
        + b"\r\n\r\n"
    ),
    "a header value without end": (
        b"GET /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\nX-Large: "
        + b"x" * 200_000
    ),
    "a header name without end": (
        b"GET /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n" + b"x" * 200_000
    ),
    "a chunk extension without end": (
        b"POST /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n1;" + b"x" * 200_000
    ),
    "too many headers": (
        b"GET /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        + b"X-Many: x\r\n" * 500
        + b"\r\n"
    ),
    "an oversized path": (
        b"GET /v1/call/dossier/" + b"x" * 200_000 + b" HTTP/1.1\r\n\r\n"
    ),
    "an oversized body": (
        b"POST /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"Content-Length: 3000000\r\n\r\n" + b"x" * 3_000_000
    ),
    "an unknown transfer coding": (
        b"POST /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"Transfer-Encoding: xchunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
    ),
    "a coding before chunked": (
        b"POST /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"Transfer-Encoding: gzip, chunked\r\n\r\n1\r\na\r\n0\r\n\r\n"
    ),
    "the same length twice": (
        b"POST /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"Content-Length: 2\r\nContent-Length: 2\r\n\r\nab"
    ),
    "a folded header": (
        b"GET /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"X-Folded: a\r\n b\r\n\r\n"
    ),
    "two lengths": (
        b"POST /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab"
    ),
    "a length and chunks": (
        b"POST /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
    ),
    "a malformed deadline": (
        b"GET /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"Cardamomkeel-Deadline-Ms: soon\r\n\r\n"
    ),
    "a negative deadline": (
        b"GET /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"Cardamomkeel-Deadline-Ms: -5\r\n\r\n"
    ),
    "a malformed depth": (
        b"GET /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
        b"Cardamomkeel-Depth: x\r\n\r\n"
    ),
    "an oversized key": (
        b"POST /v1/call/creneau/a HTTP/1.1\r\nHost: a\r\n"
        b"Idempotency-Key: " + b"k" * 201 + b"\r\nContent-Length: 0\r\n\r\n"
    ),
    "a key with a space": (
        b"POST /v1/call/creneau/a HTTP/1.1\r\nHost: a\r\n"
        b"Idempotency-Key: a b\r\nContent-Length: 0\r\n\r\n"
    ),
    "no service": b"GET /v1/call/ HTTP/1.1\r\nHost: a\r\n\r\n",
    "an encoded slash in the service": (
        b"GET /v1/call/dossier%2Fa HTTP/1.1\r\nHost: a\r\n\r\n"
    ),
    "an encoded service": (
        b"GET /v1/call/doss%69er/a HTTP/1.1\r\nHost: a\r\n\r\n"
    ),
    "an encoded interface name": (
        b"GET /v1/c%61ll/dossier/a HTTP/1.1\r\nHost: a\r\n\r\n"
    ),
    "an encoded dot in the service": (
        b"GET /v1/call/%2e%2e/dossier/a HTTP/1.1\r\nHost: a\r\n\r\n"
    ),
}


def _connect(context):
    address = next(iter(context.deployment.callers_addresses.values()))
    host, port = address.rsplit(":", 1)
    return socket.create_connection((host, int(port)), TIMEOUT_S)


def _read_answer(sock):
    """Returns the received bytes, up to a complete answer or the end."""
    data = b""
    while True:
        head, end, body = data.partition(b"\r\n\r\n")
        if end:
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length:") and len(body) >= int(
                    line.partition(b":")[2]
                ):
                    return data
        try:
            part = sock.recv(READ_BYTES)
        except ConnectionError:
            return data
        if not part:
            return data
        data += part


@given("the backend servers' record is empty")
def clear_record(context):
    context.deployment.call_servers("/clear")


@when("a lookup is sent by a caller, and {name} on the same connection")
def send_behind_lookup(context, name):
    context.answer = b""
    with _connect(context) as sock, contextlib.suppress(ConnectionError):
        sock.sendall(LOOKUP)
        sock.sendall(REQUESTS[name])
        while part := sock.recv(READ_BYTES):
            context.answer += part


@then("the lookup was not refused")
def check_lookup_not_refused(context):
    status_line = context.answer.partition(b"\r\n")[0]
    assert status_line in (b"", b"HTTP/1.1 200 OK"), context.answer


@when("the bytes of {name} are sent by a caller")
def send_raw(context, name):
    with _connect(context) as sock:
        try:
            sock.sendall(REQUESTS[name])
        except ConnectionError:
            pass
        context.raw = _read_answer(sock)


@when('only the bytes "{text}" are sent by a caller')
def send_part(context, text):
    with _connect(context) as sock:
        sock.sendall(text.encode().decode("unicode_escape").encode())
        started = time.monotonic()
        context.raw = _read_answer(sock)
        context.elapsed_s = time.monotonic() - started


@when("a caller sends only part of a body")
def send_without_body(context):
    with _connect(context) as sock:
        sock.sendall(
            b"POST /v1/call/dossier/a HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: 10\r\n\r\nabc"
        )
        started = time.monotonic()
        context.raw = _read_answer(sock)
        context.elapsed_s = time.monotonic() - started


@then("the request is refused as not run, with status {status:d} and a remedy")
def check_refused(context, status):
    head, _, body = context.raw.partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d " % status), context.raw[:300]
    assert OUTCOME + b"not-run" in head.lower(), head
    error = json.loads(body)
    assert error["message"], error
    assert error["remedy"], error


@then("the refusal took less than {limit_s:d} s")
def check_elapsed(context, limit_s):
    assert context.elapsed_s < limit_s, context.elapsed_s


@then("no backend server ran anything")
def check_nothing_ran(context):
    record = context.deployment.list_runs()
    assert not record, record


@then("the entry still answers a lookup")
def check_alive(context):
    address = next(iter(context.deployment.callers_addresses.values()))
    got = context.caller.call("dossier", address=address)
    assert got.outcome == "answered", got
    assert all(e.is_running() for e in context.deployment.entries.values())


@when("a backend server announces {text}")
def announce(context, text):
    address = next(iter(context.deployment.callers_addresses.values()))
    context.announced = httpx.post(
        f"http://{address}/v1/announce",
        content=text.encode(),
        timeout=TIMEOUT_S,
        trust_env=False,
        verify=False,
    )


@then("the announcement is refused with status {status:d} and a remedy")
def check_announcement(context, status):
    assert context.announced.status_code == status, context.announced.text
    assert context.announced.json()["remedy"], context.announced.text


@when("a target of {service} announces itself for {other}")
def announce_other(context, service, other):
    servers = context.deployment.call_servers("/servers")
    target = next(s for s in servers if s["service"] == service)
    announcement = {
        "service": other,
        "address": target["address"],
        "data_centre": target["data_centre"],
        "slots": target["slots"],
        "instance": target["instance"],
    }
    announce(context, json.dumps(announcement))


@given("the targets of {service} announce {count:d} slots")
def announce_slots(context, service, count):
    where = {"service": service}
    context.deployment.call_servers(
        "/set",
        {"where": where, "announced_slots": count, "instance": "liar"},
    )

    def is_accepted():
        owned = [
            target
            for name in context.deployment.entries
            for target in context.deployment.dump_entry(name)["owned"].values()
        ]
        return sum(t["limit"] == 1 for t in owned) >= 3

    deployment_lib.wait_for(is_accepted, TIMEOUT_S, "the new instance is known")
