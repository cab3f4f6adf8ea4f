"""Steps about planned stops of entries."""

import collections
import json
import signal
import threading
import time

from behave import given
from behave import then
from behave import when
import httpx

from bench import caller as caller_lib
from bench import deployment as deployment_lib
from features import load

WARM_UP_S = 1.0
STOP_TIMEOUT_S = 30.0


@given("{count:d} callers that use the addresses that entries return")
def start_free_load(context, count):
    addresses = context.deployment.callers_addresses
    context.load = load.Load(addresses, "dossier", "creneau", count, False)
    context.load.start()
    context.add_cleanup(context.load.stop)
    time.sleep(WARM_UP_S)


@given("a lookup of {service} that takes {latency:d} ms through {name}")
def start_slow_lookup(context, service, latency, name):
    deployment = context.deployment
    deployment.call_servers(
        "/set", {"where": {"service": service}, "latency_ms": latency}
    )
    address = deployment.callers_addresses[name]

    def call():
        caller_lib.Caller([address]).call(
            service, address=address, deadline_ms=9000
        )

    thread = threading.Thread(target=call)
    thread.start()
    context.add_cleanup(thread.join)
    deployment_lib.wait_for(
        lambda: any(
            server["in_flight"]
            for server in deployment.call_servers("/servers")
        ),
        10,
        "the lookup runs",
    )


@when("each entry is stopped and started, one after another")
def restart_all(context):
    deployment = context.deployment
    context.stops = []
    for name, process in deployment.entries.items():
        started = time.monotonic()
        status = process.stop(STOP_TIMEOUT_S)
        context.stops.append((name, status, time.monotonic() - started))
        process.start()
        deployment.wait_ready()
        deployment_lib.wait_for(
            lambda name=name: deployment.dump_entry(name).get("fresh"),
            STOP_TIMEOUT_S,
            f"{name} is back",
        )
    time.sleep(WARM_UP_S)


@when("each control VM is stopped and started, the leader first")
def restart_controls(context):
    deployment = context.deployment
    context.stops = []
    leader = deployment.leader()
    names = [leader, *(n for n in deployment.controls if n != leader)]
    for name in names:
        process = deployment.controls[name]
        started = time.monotonic()
        status = process.stop(STOP_TIMEOUT_S)
        context.stops.append((name, status, time.monotonic() - started))
        process.start()
        deployment_lib.wait_for(
            lambda name=name: (
                deployment.leader()
                and deployment.dump_control(name).get("leader")
            ),
            STOP_TIMEOUT_S,
            f"{name} is a follower again",
        )
        time.sleep(WARM_UP_S)


@then("each stop ended with status 0 within {seconds:d} s")
def check_stops(context, seconds):
    print(context.stops)
    assert context.stops
    for name, status, took_s in context.stops:
        assert status == 0, (name, status, took_s)
        assert took_s <= seconds, (name, status, took_s)


@then("each booking ran once")
def check_bookings(context):
    runs = collections.Counter(
        run["key"] for run in context.deployment.list_runs() if run["key"]
    )
    sent = {call.key for call in context.load.calls if call.key}
    assert sent == set(runs), (len(sent), len(runs))
    assert set(runs.values()) == {1}, runs.most_common(3)


@when("{name} gets two signals to stop")
def signal_twice(context, name):
    process = context.deployment.entries[name]
    process.send_signal(signal.SIGTERM)
    time.sleep(0.2)
    context.status = process.stop(STOP_TIMEOUT_S)


@then("{name} ended with status {status:d}")
def check_status(context, name, status):
    context.log = context.deployment.entries[name].log
    assert context.status == status, context.status


@then('its log names "{words}" and {count:d} request in flight')
def check_log(context, words, count):
    lines = [
        json.loads(line)
        for line in context.log.read_text().splitlines()
        if line.startswith("{")
    ]
    named = [line for line in lines if line["message"] == words]
    assert named, lines[-5:]
    assert named[-1]["in_flight"] == count, named


@when("{name} gets a signal to stop")
def ask_to_stop(context, name):
    context.asked_at = time.monotonic()
    context.deployment.entries[name].send_signal(signal.SIGTERM)


@then("no entry returns the address of {name} to callers within {limit:d} ms")
def check_not_named(context, name, limit):
    deployment = context.deployment
    address = deployment.callers_addresses[name]

    def is_unnamed():
        return all(
            address
            not in httpx.get(
                f"http://{entry}/v1/addresses?service=dossier",
                trust_env=False,
                verify=False,
            ).json()["addresses"]
            for entry in deployment.callers_addresses.values()
        )

    deployment_lib.wait_for(is_unnamed, limit / 1000, f"{name} is not named")


@then("{name} still answers lookups")
def check_still_serves(context, name):
    address = context.deployment.callers_addresses[name]
    got = context.caller.call("dossier", address=address)
    assert got.outcome == "answered", got
