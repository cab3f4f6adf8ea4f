"""Steps of requests that meet failures at every stage."""

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
READY_S = 30.0
# Longer than any of these requests may run.
QUIET_S = 2.0
# By then what is taken out gets no new work.
OUT_S = 5.0
# So much of a message is shown.
MESSAGE_BYTES = 120


@dataclasses.dataclass(frozen=True)
class Asked:
    """One request with a path of its own, and what was told of it."""

    path: str
    got: caller_lib.Got


def ask(context, service, address, **more) -> None:
    """Sends one request with a path of its own."""
    path = f"/once/{secrets.token_hex(8)}"
    key = secrets.token_hex(8) if service == BOOKINGS else ""
    got = caller_lib.Caller([address]).call(
        *(service, "POST", path),
        key=key,
        address=address,
        deadline_ms=DEADLINE_MS,
        **more,
    )
    context.asked.append(Asked(path, got))


def ask_many(context, count, services, **more) -> None:
    """Sends requests through all entries in turn."""
    with concurrent.futures.ThreadPoolExecutor(WORKERS) as pool:
        for number in range(count):
            address = context.addresses[number % len(context.addresses)]
            for service in services:
                pool.submit(ask, context, service, address, **more)


def count_by_path(context) -> dict[str, int]:
    """Returns how often backend servers ran each path."""
    runs: dict[str, int] = {}
    for run in context.deployment.record():
        runs[run["path"]] = runs.get(run["path"], 0) + 1
    return runs


def _servers(context) -> list[str]:
    addresses = context.deployment.server_addresses
    return [*addresses[LOOKUPS], *addresses[BOOKINGS]]


def _inject(context, fault, servers) -> None:
    for entry in context.deployment.entries:
        for server in servers:
            context.deployment.relays.inject(fault, entry, server)


def _reset_often(context, servers) -> None:
    for _ in range(20):
        time.sleep(0.05)
        _inject(context, "reset", servers)


def _set(context, **values) -> None:
    context.deployment.ask_servers("/set", values)


def _kill_entry(context) -> None:
    time.sleep(0.1)
    entry = context.deployment.entries["entry-3"]
    entry.kill()
    entry.start()


def make_first_forward(context) -> None:
    """Takes the targets near the first entry out, so that it forwards."""
    first = context.deployment.shape.data_centres[0]
    context.deployment.take("/v1/take-out", first)
    deployment_lib.wait_for(
        lambda: all(
            f"{first}/" in context.deployment.dump_entry(name).get("outs", [])
            for name in context.deployment.entries
        ),
        OUT_S,
        f"{first} is out at every entry",
    )


def end_forwarding(context) -> None:
    """Brings the targets near the first entry back."""
    first = context.deployment.shape.data_centres[0]
    context.deployment.take("/v1/bring-back", first)


def _nothing(context) -> None:
    """Is for faults that have no part after or during the requests."""


# What happens before, during and after the requests.
FAULTS = {
    "nothing fails": (_nothing, _nothing, _nothing),
    "entries are cut off from each other": (
        lambda c: (
            make_first_forward(c),
            _inject(c, "cut", list(c.deployment.entries)),
        ),
        _nothing,
        lambda c: (c.deployment.relays.heal(), end_forwarding(c)),
    ),
    "connections between entries are reset": (
        lambda c: make_first_forward(c),
        lambda c: _reset_often(c, list(c.deployment.entries)),
        lambda c: end_forwarding(c),
    ),
    "entries are cut off from backend servers": (
        lambda c: _inject(c, "cut", _servers(c)),
        _nothing,
        lambda c: c.deployment.relays.heal(),
    ),
    "connections to backend servers are reset": (
        _nothing,
        lambda c: _reset_often(c, _servers(c)),
        _nothing,
    ),
    "backend servers shed their load": (
        lambda c: _set(c, shed=True),
        _nothing,
        lambda c: _set(c, shed=False),
    ),
    "backend servers end answers in the middle": (
        lambda c: _set(c, cut=True),
        _nothing,
        lambda c: _set(c, cut=False),
    ),
    "backend servers are silent": (
        lambda c: _set(c, silent=True),
        _nothing,
        lambda c: _set(c, silent=False),
    ),
    "control VMs are cut off": (
        lambda c: _inject(c, "cut", list(c.deployment.controls)),
        _nothing,
        lambda c: c.deployment.relays.heal(),
    ),
    "an entry is killed and comes back": (_nothing, _kill_entry, _nothing),
}


@when("{count:d} requests of each kind are sent while {fault}")
def ask_during_fault(context, count, fault):
    context.asked = []
    context.deployment.wait_ready(READY_S)
    before, during, after = FAULTS[fault]
    before(context)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        asked = pool.submit(ask_many, context, count, [LOOKUPS, BOOKINGS])
        during(context)
        asked.result()
    after(context)
    time.sleep(QUIET_S)


@then('each was told an outcome, and what was "not run" never ran')
def check_not_run(context):
    runs = count_by_path(context)
    for asked in context.asked:
        if not asked.got.status:
            # The entry itself was lost, so that nothing was told.
            continue
        told = asked.got.outcome
        assert told in ("answered", "not-run", "unknown"), asked
        if told == "not-run":
            assert asked.path not in runs, asked
        if told == "answered":
            assert asked.path in runs, asked


@then('at least {least:d} of them were told "{outcome}"')
def check_told(context, least, outcome):
    told: dict[str, int] = {}
    for asked in context.asked:
        told[asked.got.outcome] = told.get(asked.got.outcome, 0) + 1
    print(told)
    others = [a.got for a in context.asked if a.got.outcome != outcome]
    print({(got.outcome, got.body[:MESSAGE_BYTES]) for got in others})
    assert told.get(outcome, 0) >= least, told


@when("all backend servers are killed and {count:d} requests of each kind sent")
def ask_without_servers(context, count):
    context.asked = []
    context.addresses = list(context.deployment.callers_addresses.values())
    context.deployment.servers.kill()
    ask_many(context, count, [LOOKUPS, BOOKINGS])
