"""Steps for requests that crash backend servers."""

import concurrent.futures
import secrets
import time

from behave import step
from behave import then
from behave import when

from bench import caller as caller_lib
from bench import deployment as deployment_lib

LOOKUPS = "dossier"
BOOKINGS = "creneau"
DEADLINE_MS = 2000
BETWEEN_CRASHES_S = 2.0
RESET_PAUSE_S = 0.05


def send_lookup(
    address, path, service=LOOKUPS, key=""
) -> caller_lib.CallResult:
    """Sends one request through one entry."""
    return caller_lib.Caller([address]).call(
        *(service, "POST", path),
        key=key,
        address=address,
        deadline_ms=DEADLINE_MS,
    )


@step(
    'a crashing lookup "{name}" is sent {count:d} times through all entries '
    "in turn"
)
@step(
    'a crashing lookup "{name}" is sent {count:d} time through all entries '
    "in turn"
)
def crash_in_turn(context, name, count):
    context.path = f"/crash/{name}"
    context.service = LOOKUPS
    for number in range(count):
        address = context.addresses[number % len(context.addresses)]
        send_lookup(address, context.path)


@when(
    'a crashing lookup "{name}" is sent {count:d} times through all entries '
    "at once"
)
def crash_at_once(context, name, count):
    context.path = f"/crash/{name}"
    context.service = LOOKUPS
    for _ in range(count):
        with concurrent.futures.ThreadPoolExecutor(8) as pool:
            for address in context.addresses:
                pool.submit(send_lookup, address, context.path)


@when('a crashing booking "{name}" is sent {count:d} times with new keys')
def crash_bookings(context, name, count):
    context.path = f"/crash/{name}"
    context.service = BOOKINGS
    for number in range(count):
        address = context.addresses[number % len(context.addresses)]
        send_lookup(address, context.path, BOOKINGS, secrets.token_hex(8))


def count_crashes(context) -> int:
    """Returns how often the request ran; each run crashes a server."""
    return len(
        [r for r in context.deployment.list_runs() if r["path"] == context.path]
    )


@then("it crashed at most {max_crashes:d} backend servers")
def check_most(context, max_crashes):
    crashes = count_crashes(context)
    print(f"{crashes} crashes")
    assert 0 < crashes <= max_crashes, crashes


@then("it crashed at least {min_crashes:d} backend servers")
def check_least(context, min_crashes):
    assert count_crashes(context) >= min_crashes


@then("it is refused as not run by every entry")
def check_refused(context):
    before = count_crashes(context)
    for address in context.addresses:
        key = secrets.token_hex(8) if context.service == BOOKINGS else ""
        got = send_lookup(address, context.path, context.service, key)
        assert got.outcome == "not-run", got
        assert b"quarantine" in got.body, got
    assert count_crashes(context) == before


@then("other lookups are answered")
def check_others(context):
    for address in context.addresses:
        got = send_lookup(address, f"/other/{secrets.token_hex(4)}")
        assert got.outcome == "answered", got


def list_quarantines(context) -> list[dict]:
    """Returns the rows of suspect and quarantined requests."""
    records = context.deployment.operate("/v1/show", {})["records"]
    return [r["quarantine"] for r in records if "quarantine" in r]


@when("an operator lifts every quarantine")
def lift_quarantines(context):
    listed = context.deployment.operate("/v1/unknown", {})["quarantines"]
    assert listed
    for row in listed:
        done = context.deployment.operate(
            "/v1/resolve",
            {
                "fingerprint": row["fingerprint"],
                "change_id": secrets.token_hex(8),
                "operator": "tests",
            },
        )
        assert "version" in done, done
        # An accepted change is in force at every entry only later.
        body = {"version": done["version"]}
        waited = context.deployment.operate("/v1/wait", body)
        assert waited["in_force"], waited


def send_in_turn(context, path, until) -> None:
    """Sends one request repeatedly until a time."""
    number = 0
    while time.monotonic() < until:
        address = context.addresses[number % len(context.addresses)]
        got = send_lookup(address, path)
        number += 1
        assert got.outcome in ("answered", "not-run", "unknown"), got


@when(
    "{count:d} lookups are sent repeatedly while servers crash "
    "{crashes:d} times"
)
def crash_servers(context, count, crashes):
    paths = [f"/popular/{number}" for number in range(count)]
    context.paths = paths
    until = time.monotonic() + BETWEEN_CRASHES_S * (crashes + 2)
    with concurrent.futures.ThreadPoolExecutor(count + 1) as pool:
        jobs = [pool.submit(send_in_turn, context, p, until) for p in paths]
        for number in range(crashes):
            time.sleep(BETWEEN_CRASHES_S)
            servers = context.deployment.server_addresses[LOOKUPS]
            crash_server(context, servers[number % len(servers)])
        for job in jobs:
            job.result()


def crash_server(context, address) -> None:
    """Breaks all connections to a server and gives it a new instance."""
    for entry in context.deployment.entries:
        context.deployment.relays.inject("reset", entry, address)
    context.deployment.call_servers(
        "/set",
        {"where": {"address": address}, "instance": secrets.token_hex(4)},
    )


@when(
    "connections to backend servers break {resets:d} times during "
    "{count:d} lookups"
)
def break_connections(context, resets, count):
    context.paths = [f"/network/{number}" for number in range(count)]
    until = time.monotonic() + RESET_PAUSE_S * resets
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        for path in context.paths:
            pool.submit(send_in_turn, context, path, until)
        while time.monotonic() < until:
            for address in context.deployment.server_addresses[LOOKUPS]:
                for entry in context.deployment.entries:
                    context.deployment.relays.inject("reset", entry, address)
            time.sleep(RESET_PAUSE_S)


def is_answered(context, path) -> bool:
    """Returns whether a request is answered through every entry."""
    return all(
        send_lookup(address, path).outcome == "answered"
        for address in context.addresses
    )


@then("none of these lookups is in quarantine")
def check_none(context):
    for path in context.paths:
        for address in context.addresses:
            got = send_lookup(address, path)
            assert got.outcome == "answered", (path, got)


@then("none of these lookups is in quarantine {seconds:d} seconds later")
def check_none_later(context, seconds):
    deployment_lib.wait_for(
        lambda: all(is_answered(context, path) for path in context.paths),
        seconds,
        "every lookup is answered",
    )
