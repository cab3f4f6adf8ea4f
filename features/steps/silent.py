"""Steps for silent connections and for callers that disconnect."""

import socket
import time

from behave import given
from behave import then
from behave import when

RUN_TIMEOUT_S = 5.0


def _send_calls(context, service, count, method, key=""):
    entries = list(context.deployment.callers_addresses.values())
    return [
        context.caller.call(
            service,
            method,
            f"/own/{number}",
            key=f"{key}{number}" if key else "",
            address=entries[number % len(entries)],
        )
        for number in range(count)
    ]


@given("connections to the backend servers of {service} are in use")
def warm_up(context, service):
    got = _send_calls(context, service, 30, "GET")
    assert {answer.outcome for answer in got} == {"answered"}, got


@given("{seconds:g} s passes")
def pass_time(_, seconds):
    time.sleep(seconds)


@when("the open connections from entries to backend servers go silent")
def silence_servers(context):
    for addresses in context.deployment.server_addresses.values():
        for address in addresses:
            context.deployment.relays.inject("silence_open", "*", address)


@when("the open connections between entries go silent")
def silence_entries(context):
    for name in context.deployment.entries:
        context.deployment.relays.inject("silence_open", "*", name)


@when("{count:d} lookups of {service} are sent one after the other")
def look_up_in_turn(context, count, service):
    context.answers = _send_calls(context, service, count, "GET")


@when('{count:d} bookings "{key}" of {service} are sent one after the other')
def book_in_turn(context, count, key, service):
    context.answers = _send_calls(context, service, count, "POST", key)


@then("all of them were answered")
def check_all(context):
    unanswered = [got for got in context.answers if got.outcome != "answered"]
    assert not unanswered, unanswered


@then("all but at most {count:d} of them were answered")
def check_all_but(context, count):
    unanswered = [got for got in context.answers if got.outcome != "answered"]
    assert len(unanswered) <= count, unanswered


@then("no entry detected more than {count:d} silent connection")
def check_silent_connections(context, count):
    for name, entry in context.deployment.entries.items():
        count_found = entry.log.read_text().count(
            '"connection is unresponsive"'
        )
        assert count_found <= count, (name, count_found)


@given("the backend servers take {latency_ms:d} ms")
def set_latency(context, latency_ms):
    context.deployment.call_servers("/set", {"latency_ms": latency_ms})


@when("a caller sends a lookup of {service} and disconnects while it runs")
def send_and_disconnect(context, service):
    _send_and_disconnect(context, service, count=1)


@when(
    "a caller sends {count:d} lookups of {service} in a row and disconnects "
    "while the first one runs"
)
def send_in_a_row_and_disconnect(context, count, service):
    _send_and_disconnect(context, service, count)


def _send_and_disconnect(context, service, count):
    context.before = len(context.deployment.list_runs())
    address = next(iter(context.deployment.callers_addresses.values()))
    host, port = address.rsplit(":", 1)
    with socket.create_connection((host, int(port))) as sock:
        sock.sendall(
            count
            * (
                f"GET /v1/call/{service}/left HTTP/1.1\r\nHost: a\r\n"
                "Cardamomkeel-Deadline-Ms: 9000\r\n\r\n"
            ).encode()
        )
        until = time.monotonic() + RUN_TIMEOUT_S
        while len(context.deployment.list_runs()) == context.before:
            assert time.monotonic() < until, "the lookup never ran"
            time.sleep(0.02)


@then("within {seconds:d} s no backend server runs a request")
def check_idle(context, seconds):
    until = time.monotonic() + seconds
    while True:
        servers = context.deployment.call_servers("/servers")
        if not any(server["in_flight"] for server in servers):
            return
        assert time.monotonic() < until, servers
        time.sleep(0.05)


@given("the backend servers truncate their answers")
def truncate_answers(context):
    context.deployment.call_servers("/set", {"cut": True})


@then("none of them got the outcome answered")
def check_none(context):
    got = {answer.outcome for answer in context.answers}
    assert got <= {"unknown", "not-run"}, context.answers
    assert all(a.status >= 500 for a in context.answers), context.answers
