"""Steps for owners that fail, and the slots of their targets."""

import concurrent.futures
import contextlib
import secrets
import threading
import time

from behave import given
from behave import then
from behave import when

from bench import caller as caller_lib
from bench import deployment as deployment_lib

# A request counts as stalled after ten times this latency.
LATENCY_MS = 40
# Outlasts the lease, so that requests of the old owner still run when the
# new owner takes over.
LONG_LATENCY_MS = 6000
LONG_DEADLINE_MS = 9000
SHORT_DEADLINE_MS = 400
# An owner gives a request less time until its promise to the control group is
# confirmed.
MIN_LONG_DEADLINE_MS = 7000
# Longer than the period in which control moves targets between entries.
STABLE_S = 6.0
LOAD_CALLERS = 24
# A lease with drift, a round of control duties and a poll, with a margin.
TAKEOVER_TIMEOUT_S = 15
# The longest deadline, the longest run after a lease, and the warm-up.
READY_S = 30


def _owned(deployment, service):
    """Returns the owned targets of a service by the name of their owner."""
    found = {}
    for name, process in deployment.entries.items():
        if not process.is_running() or name in _lost(deployment):
            continue
        owned = deployment.dump_entry(name).get("owned", {})
        found[name] = {
            a for a, row in owned.items() if row["service"] == service
        }
    return found


def _lost(deployment):
    """Returns the names of entries that have lost their lease."""
    return vars(deployment).setdefault("lost", set())


def _unresponsive(deployment):
    """Returns the names of entries that don't answer callers."""
    return vars(deployment).setdefault("unresponsive", set())


def _call(address, service, deadline_ms):
    caller = caller_lib.Caller([])
    return caller.call(
        service,
        "POST",
        key=secrets.token_hex(8),
        deadline_ms=deadline_ms,
        address=address,
    )


@contextlib.contextmanager
def load(deployment, service, deadline_ms=SHORT_DEADLINE_MS):
    """Sends requests through all entries until the context ends."""
    names = list(deployment.callers_addresses)
    stop = threading.Event()
    answers = []

    def run(number):
        caller = caller_lib.Caller([])
        turn = number
        while not stop.is_set():
            turn += 1
            name = names[turn % len(names)]
            if name in _unresponsive(deployment):
                continue
            address = deployment.callers_addresses[name]
            got = caller.call(service, deadline_ms=deadline_ms, address=address)
            answers.append(got)
            if got.outcome != "answered":
                time.sleep(0.01)

    with concurrent.futures.ThreadPoolExecutor(LOAD_CALLERS) as pool:
        for number in range(LOAD_CALLERS):
            pool.submit(run, number)
        try:
            yield answers
        finally:
            stop.set()


def _set_latency(deployment, latency_ms):
    deployment.call_servers("/set", {"latency_ms": latency_ms})


def is_warm(deployment, service):
    rows = [
        row
        for name in deployment.entries
        for row in deployment.dump_entry(name).get("owned", {}).values()
        if row["service"] == service
    ]
    expected = deployment.shape.services[service]
    warm = [row for row in rows if row["limit"] == deployment.shape.slots]
    return len(warm) == expected


@given("every target of {service} is warm")
def warm_up(context, service):
    deployment = context.deployment
    context.pool = concurrent.futures.ThreadPoolExecutor(1)
    _set_latency(deployment, LATENCY_MS)
    with load(deployment, service):
        deployment_lib.wait_for(
            lambda: is_warm(deployment, service), READY_S, "targets are warm"
        )
    deployment.call_servers("/clear")


@when("long requests fill every slot of {service}")
def fill_slots(context, service):
    deployment = context.deployment
    _set_latency(deployment, LONG_LATENCY_MS)
    addresses = list(deployment.callers_addresses.values())
    expected = deployment.shape.services[service] * deployment.shape.slots
    context.pool = concurrent.futures.ThreadPoolExecutor(expected)
    context.long = [
        context.pool.submit(
            _call,
            addresses[number % len(addresses)],
            service,
            LONG_DEADLINE_MS,
        )
        for number in range(expected)
    ]

    def count_running():
        return sum(
            server["in_flight"]
            for server in deployment.call_servers("/servers")
            if server["service"] == service
        )

    try:
        deployment_lib.wait_for(
            lambda: count_running() == expected, 2.0, "every slot is taken"
        )
    except TimeoutError as exc:
        results = [fut.result() for fut in context.long if fut.done()]
        raise AssertionError((count_running(), expected, results)) from exc


@given("every owner has just sent a request with a long deadline")
def send_long_deadlines(context):
    # New owners wait until these requests must have ended. What lost targets
    # run until then was sent by their old owners.
    deployment = context.deployment
    owned = _wait_for_stable_owners(deployment, "creneau")
    for name, targets in owned.items():
        # An entry may forward a request to the owner of another target.
        while targets and not _has_long_run(deployment, targets):
            address = deployment.callers_addresses[name]
            got = _call(address, "creneau", LONG_DEADLINE_MS)
            assert got.outcome == "answered", got
    assert _owned(deployment, "creneau") == owned, "targets were moved"


def _wait_for_stable_owners(deployment, service):
    """Returns the targets by owner once none of them is moved any more.

    A target that is moved after a request with a long deadline has an owner
    that has not sent it.
    """
    stable_since = time.monotonic()
    owned = _owned(deployment, service)
    while time.monotonic() - stable_since < STABLE_S:
        time.sleep(STABLE_S / 10)
        found = _owned(deployment, service)
        if found != owned:
            owned, stable_since = found, time.monotonic()
    return owned


def _has_long_run(deployment, targets):
    """Returns whether one of the targets ran a request with a long deadline."""
    return any(
        run["address"] in targets and run["deadline_ms"] > MIN_LONG_DEADLINE_MS
        for run in deployment.list_runs()
    )


def _partition(deployment, name):
    for control in deployment.controls:
        deployment.relays.inject("silence", name, control)
    _lost(deployment).add(name)


def _kill(deployment, name):
    deployment.entries[name].kill()


def _freeze(deployment, name):
    deployment.entries[name].freeze()
    _lost(deployment).add(name)
    _unresponsive(deployment).add(name)


FAULTS = {
    "killed": [_kill],
    "frozen": [_freeze],
    "cut off from control": [_partition],
    "frozen, the next one cut off from control": [_freeze, _partition],
}


@when("{count:d} owners of {service} are {fault}")
def break_owners(context, count, service, fault):
    deployment = context.deployment
    owned = _owned(deployment, service)
    owners = sorted(name for name, targets in owned.items() if targets)
    context.lost = set()
    for name, inject in zip(owners[:count], FAULTS[fault], strict=True):
        context.lost |= owned[name]
        inject(deployment, name)


@when("{service} is under load until every target has another owner")
def load_until_taken_over(context, service):
    deployment = context.deployment

    def is_taken_over():
        owned = _owned(deployment, service)
        return context.lost <= set().union(*owned.values())

    with load(deployment, service):
        context.take_over_s = deployment_lib.wait_for(
            is_taken_over, TAKEOVER_TIMEOUT_S, "every target has another owner"
        )
        context.taken_over_at = time.time()
        # Under load, the new owner has to wait for the work of the old one.
        time.sleep(1)


@when("the faults end")
def end_faults(context):
    deployment = context.deployment
    deployment.relays.heal()
    for process in deployment.entries.values():
        if process.is_running():
            process.thaw()
        else:
            process.start()
    _lost(deployment).clear()
    _unresponsive(deployment).clear()
    # Waits until the long requests are answered or time out.
    context.pool.shutdown()
    _set_latency(deployment, LATENCY_MS)


@when("{service} is under load for {seconds:d} s")
def load_for(context, service, seconds):
    with load(context.deployment, service):
        time.sleep(seconds)


@when("every entry is restarted in turn while {service} is under load")
def restart_entries(context, service):
    deployment = context.deployment
    with load(deployment, service):
        for process in deployment.entries.values():
            process.stop()
            process.start()
            deployment.wait_ready()


@then("every target of {service} answers again within {seconds:d} s")
def check_answers(context, service, seconds):
    deployment = context.deployment
    expected = set(deployment.server_addresses[service])
    since = time.time()

    def ran():
        return {
            run["address"]
            for run in deployment.list_runs()
            if run["started"] >= since and run["whole"]
        }

    with load(deployment, service):
        deployment_lib.wait_for(
            lambda: expected <= ran(), seconds, "every target answers"
        )


@then("the lost targets received no requests after that")
def check_no_work(context):
    runs = [
        run
        for run in context.deployment.list_runs()
        if run["address"] in context.lost
        and run["started"] > context.taken_over_at
    ]
    assert not runs, runs
