"""Steps for requests that fail at different stages."""

import concurrent.futures
import dataclasses
import secrets
import time

from behave import then
from behave import when

from bench import caller as caller_lib
from bench import deployment as deployment_lib

LOOKUPS = "dossier"
BOOKINGS = "creneau"
DEADLINE_MS = 1500
WORKERS = 12
READY_TIMEOUT_S = 30.0
# Longer than the deadline: no request runs any more.
SETTLE_S = 2.0
# By then no entry selects a target that is taken out.
TAKE_OUT_TIMEOUT_S = 5.0
PRINTED_BODY_BYTES = 120


@dataclasses.dataclass(frozen=True)
class SentRequest:
    """One request with a unique path, and its response."""

    path: str
    got: caller_lib.CallResult


def send_request(context, service, address, **options) -> None:
    """Sends one request with a unique path."""
    path = f"/once/{secrets.token_hex(8)}"
    key = secrets.token_hex(8) if service == BOOKINGS else ""
    got = caller_lib.Caller([address]).call(
        *(service, "POST", path),
        key=key,
        address=address,
        deadline_ms=DEADLINE_MS,
        **options,
    )
    context.sent.append(SentRequest(path, got))


def send_requests(context, count, services, **options) -> None:
    """Sends requests to all entries in turn, several at once."""
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for number in range(count):
            address = context.addresses[number % len(context.addresses)]
            for service in services:
                pool.submit(send_request, context, service, address, **options)


def count_runs_by_path(context) -> dict[str, int]:
    """Returns how often backend servers ran each path."""
    runs: dict[str, int] = {}
    for run in context.deployment.list_runs():
        runs[run["path"]] = runs.get(run["path"], 0) + 1
    return runs


def _list_servers(context) -> list[str]:
    addresses = context.deployment.server_addresses
    return [*addresses[LOOKUPS], *addresses[BOOKINGS]]


def _inject(context, fault, servers) -> None:
    for entry in context.deployment.entries:
        for server in servers:
            context.deployment.relays.inject(fault, entry, server)


def _reset_repeatedly(context, servers) -> None:
    for _ in range(20):
        time.sleep(0.05)
        _inject(context, "reset", servers)


def _configure_servers(context, **values) -> None:
    context.deployment.call_servers("/set", values)


def _kill_entry(context) -> None:
    time.sleep(0.1)
    entry = context.deployment.entries["entry-3"]
    entry.kill()
    entry.start()


def force_forwarding(context) -> None:
    """Takes the first data centre out, so that its entry forwards."""
    first = context.deployment.shape.data_centres[0]
    context.deployment.change_data_centre("/v1/take-out", first)
    deployment_lib.wait_for(
        lambda: all(
            f"{first}/" in context.deployment.dump_entry(name).get("outs", [])
            for name in context.deployment.entries
        ),
        TAKE_OUT_TIMEOUT_S,
        f"{first} is out at every entry",
    )


def stop_forwarding(context) -> None:
    """Brings the first data centre back."""
    first = context.deployment.shape.data_centres[0]
    context.deployment.change_data_centre("/v1/bring-back", first)


def _do_nothing(context) -> None:
    """Does nothing: for faults without an action at a stage."""


# The actions before, during and after the requests.
FAULTS = {
    "nothing fails": (_do_nothing, _do_nothing, _do_nothing),
    "entries are cut off from each other": (
        lambda c: (
            force_forwarding(c),
            _inject(c, "cut", list(c.deployment.entries)),
        ),
        _do_nothing,
        lambda c: (c.deployment.relays.heal(), stop_forwarding(c)),
    ),
    "connections between entries are reset": (
        lambda c: force_forwarding(c),
        lambda c: _reset_repeatedly(c, list(c.deployment.entries)),
        lambda c: stop_forwarding(c),
    ),
    "entries are cut off from backend servers": (
        lambda c: _inject(c, "cut", _list_servers(c)),
        _do_nothing,
        lambda c: c.deployment.relays.heal(),
    ),
    "connections to backend servers are reset": (
        _do_nothing,
        lambda c: _reset_repeatedly(c, _list_servers(c)),
        _do_nothing,
    ),
    "backend servers shed load": (
        lambda c: _configure_servers(c, shed=True),
        _do_nothing,
        lambda c: _configure_servers(c, shed=False),
    ),
    "backend servers truncate their answers": (
        lambda c: _configure_servers(c, cut=True),
        _do_nothing,
        lambda c: _configure_servers(c, cut=False),
    ),
    "backend servers are unresponsive": (
        lambda c: _configure_servers(c, silent=True),
        _do_nothing,
        lambda c: _configure_servers(c, silent=False),
    ),
    "control VMs are cut off": (
        lambda c: _inject(c, "cut", list(c.deployment.controls)),
        _do_nothing,
        lambda c: c.deployment.relays.heal(),
    ),
    "an entry is killed and restarted": (
        _do_nothing,
        _kill_entry,
        _do_nothing,
    ),
}


@when("{count:d} requests of each kind are sent while {fault}")
def send_during_fault(context, count, fault):
    context.sent = []
    context.deployment.wait_ready(READY_TIMEOUT_S)
    before, during, after = FAULTS[fault]
    before(context)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(send_requests, context, count, [LOOKUPS, BOOKINGS])
        during(context)
        future.result()
    after(context)
    time.sleep(SETTLE_S)


@then('each got an outcome, and no request with "not run" ran')
def check_not_run(context):
    runs = count_runs_by_path(context)
    for sent in context.sent:
        if not sent.got.status:
            # The entry itself was lost: there is no response.
            continue
        outcome = sent.got.outcome
        assert outcome in ("answered", "not-run", "unknown"), sent
        if outcome == "not-run":
            assert sent.path not in runs, sent
        if outcome == "answered":
            assert sent.path in runs, sent


@then('at least {least:d} of them got "{outcome}"')
def check_outcome_count(context, least, outcome):
    counts: dict[str, int] = {}
    for sent in context.sent:
        counts[sent.got.outcome] = counts.get(sent.got.outcome, 0) + 1
    print(counts)
    others = [sent.got for sent in context.sent if sent.got.outcome != outcome]
    print({(got.outcome, got.body[:PRINTED_BODY_BYTES]) for got in others})
    assert counts.get(outcome, 0) >= least, counts


@when("all backend servers are killed and {count:d} requests of each kind sent")
def send_without_servers(context, count):
    context.sent = []
    context.addresses = list(context.deployment.callers_addresses.values())
    context.deployment.servers.kill()
    send_requests(context, count, [LOOKUPS, BOOKINGS])
