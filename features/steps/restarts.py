"""Steps that restart programs after something was withdrawn."""

import json
import signal
import time

from behave import then
from behave import when
import httpx

from bench import platform as platform_lib

# Within this time every change is in force at every entry.
APPLY_MS = 2000.0


def find_leader(fleet):
    """Returns the running control VM that became the leader last."""

    def became_leader_at(vm):
        lines = [json.loads(x) for x in vm.log().splitlines() if x[:1] == "{"]
        return max(
            (x["time"] for x in lines if x["message"] == "became leader"),
            default="",
        )

    running = [vm for vm in fleet.cores if vm.process.poll() is None]
    leader = max(running, key=became_leader_at)
    assert became_leader_at(leader)
    return leader


@when("the leader is killed and started again")
def restart_leader(context):
    vm = find_leader(context.fleet)
    vm.kill()
    vm.start()


@when("the leader is killed and starts again with an empty disk")
def restart_leader_without_disk(context):
    vm = find_leader(context.fleet)
    vm.kill()
    vm.lose_disk()
    vm.start()


@when("the entries are killed and started again")
def restart_entries(context):
    for vm in context.fleet.fronts:
        vm.kill()
        vm.start()


@when("a control VM is frozen for {seconds:d} s while the leader is killed")
def freeze_and_kill(context, seconds):
    fleet = context.fleet
    leader = find_leader(fleet)
    frozen = next(vm for vm in fleet.cores if vm is not leader)
    frozen.process.send_signal(signal.SIGSTOP)
    try:
        time.sleep(seconds)
        leader.kill()
        leader.start()
    finally:
        frozen.process.send_signal(signal.SIGCONT)


@when("a late heartbeat of the second target arrives")
def announce_late(context):
    got = context.fleet.announce(context.second)
    assert got.status_code == 200, got


def call(fleet, vm, path, method):
    """Returns the status of a request; None without an answer."""
    try:
        return fleet.call(path, method, front=vm).status_code
    except httpx.HTTPError:
        return None


@then("the second target gets no requests for {ms:d} ms")
def check_second_unused(context, ms):
    fleet = context.fleet
    for vm in fleet.fronts:
        fleet.wait_for(lambda vm=vm: fleet.is_ready(vm))
    started = time.monotonic()
    answered = 0
    while time.monotonic() < started + ms / 1000:
        for vm in range(len(fleet.fronts)):
            answered += call(fleet, vm, "/look/1", "GET") == 200
    assert answered > 10, answered
    bound_at = context.deregistered_at + APPLY_MS / 1000
    late = [a for a in context.second.arrivals if a.at > bound_at]
    assert not late, late


@when(
    "the operator sends configuration {number:d} on {base:d} without bookings"
)
def send_without_bookings(context, number, base):
    config = platform_lib.make_config(number, base)
    config["routes"]["rows"].pop()
    context.answer = context.fleet.call_control("PUT", "/-/config", config)
    time.sleep(APPLY_MS / 1000)


@then(
    "for {ms:d} ms no target gets a request, and bookings are only answered "
    "404 or 503"
)
def check_withdrawn(context, ms):
    fleet = context.fleet
    started = time.monotonic()
    statuses = set()
    while time.monotonic() < started + ms / 1000:
        for vm in range(len(fleet.fronts)):
            statuses.add(call(fleet, vm, "/book/1", "POST"))
            statuses.add(call(fleet, vm, "/look/1", "GET"))
    for vm in range(len(fleet.fronts)):
        fleet.wait_for(lambda vm=vm: call(fleet, vm, "/book/1", "POST") == 404)
        assert call(fleet, vm, "/look/1", "GET") == 503
    assert statuses <= {404, 503, None}, statuses
    arrivals = [a for t in context.targets for a in t.arrivals]
    assert not [a for a in arrivals if a.at > started], arrivals
