"""Steps about owners that are lost, and the slots of their targets."""

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

# A request counts as stalled at ten times this.
LATENCY_MS = 40
# Outlasts the lease, so that a new owner meets the work of the old one.
LONG_LATENCY_MS = 6000
LONG_DEADLINE_MS = 9000
SHORT_DEADLINE_MS = 400
LOAD_CALLERS = 24
# One lease with drift, one round of duties, one poll, with a wide margin.
TAKE_OVER_S = 15
# The longest deadline, the longest allowance and warming up.
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
    """Returns the names of entries whose view does not count now."""
    return vars(deployment).setdefault("lost", set())


def _silent(deployment):
    """Returns the names of entries that don't answer callers now."""
    return vars(deployment).setdefault("silent", set())


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
    over = threading.Event()
    answers = []

    def run(number):
        caller = caller_lib.Caller([])
        turn = number
        while not over.is_set():
            turn += 1
            name = names[turn % len(names)]
            if name in _silent(deployment):
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
            over.set()


def _set_latency(deployment, latency_ms):
    deployment.ask_servers("/set", {"latency_ms": latency_ms})


def is_warm(deployment, service):
    rows = [
        row
        for name in deployment.entries
        for row in deployment.dump_entry(name).get("owned", {}).values()
        if row["service"] == service
    ]
    wanted = deployment.shape.services[service]
    warm = [row for row in rows if row["limit"] == deployment.shape.slots]
    return len(warm) == wanted


@given("every target of {service} is warm")
def warm_up(context, service):
    deployment = context.deployment
    context.pool = concurrent.futures.ThreadPoolExecutor(1)
    _set_latency(deployment, LATENCY_MS)
    with load(deployment, service):
        deployment_lib.wait_for(
            lambda: is_warm(deployment, service), READY_S, "targets are warm"
        )
    deployment.ask_servers("/clear")


@when("long requests fill every slot of {service}")
def fill_slots(context, service):
    deployment = context.deployment
    _set_latency(deployment, LONG_LATENCY_MS)
    addresses = list(deployment.callers_addresses.values())
    wanted = deployment.shape.services[service] * deployment.shape.slots
    context.pool = concurrent.futures.ThreadPoolExecutor(wanted)
    context.long = [
        context.pool.submit(
            _call,
            addresses[number % len(addresses)],
            service,
            LONG_DEADLINE_MS,
        )
        for number in range(wanted)
    ]

    def count_running():
        return sum(
            server["in_flight"]
            for server in deployment.ask_servers("/servers")
            if server["service"] == service
        )

    try:
        deployment_lib.wait_for(
            lambda: count_running() == wanted, 2.0, "every slot is taken"
        )
    except TimeoutError as exc:
        ended = [fut.result() for fut in context.long if fut.done()]
        raise AssertionError((count_running(), wanted, ended)) from exc


@given("every owner has just given work that new owners have to wait for")
def give_long_work(context):
    # Whatever runs at a lost target from then on was given by its old owner.
    for address in context.deployment.callers_addresses.values():
        got = _call(address, "creneau", LONG_DEADLINE_MS)
        assert got.outcome == "answered", got


def _cut_off(deployment, name):
    for control in deployment.controls:
        deployment.relays.inject("silence", name, control)
    _lost(deployment).add(name)


def _kill(deployment, name):
    deployment.entries[name].kill()


def _freeze(deployment, name):
    deployment.entries[name].freeze()
    _lost(deployment).add(name)
    _silent(deployment).add(name)


FAULTS = {
    "killed": [_kill],
    "frozen": [_freeze],
    "cut off from control": [_cut_off],
    "frozen, the next one cut off from control": [_freeze, _cut_off],
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
            is_taken_over, TAKE_OVER_S, "every target has another owner"
        )
        context.taken_over_at = time.time()
        # The new owner has to hold back although its queue is full.
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
    _silent(deployment).clear()
    # The callers of what is kept are answered or time out.
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
    wanted = set(deployment.server_addresses[service])
    since = time.time()

    def ran():
        return {
            run["address"]
            for run in deployment.record()
            if run["started"] >= since and run["whole"]
        }

    with load(deployment, service):
        deployment_lib.wait_for(
            lambda: wanted <= ran(), seconds, "every target answers"
        )


@then("the lost targets got no work since then")
def check_no_work(context):
    runs = [
        run
        for run in context.deployment.record()
        if run["address"] in context.lost
        and run["started"] > context.taken_over_at
    ]
    assert not runs, runs
