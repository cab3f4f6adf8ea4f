"""Steps of a control group in which not all members are seeds."""

import signal
import time

from behave import then
from behave import when
import httpx

from bench import platform as platform_lib
from cardamomkeel.platform import process

# Offset of the range for traffic between VMs from the port of control.
FIRST_INTERNAL_OFFSET = 3
LEADER_WITHIN_S = 20.0
# Longer than the others take to exchange greetings.
RESTART_S = 0.5


def get_state(fleet, vm):
    """Returns the state that a VM serves; empty if it does not answer."""
    try:
        url = vm.url(
            "/state", FIRST_INTERNAL_OFFSET + process.OFFSET_OF_OPERATORS_PORT
        )
        got = fleet.client.get(url)
        return got.json() if got.status_code == 200 else {}
    except httpx.HTTPError:
        return {}


def find_leader(fleet):
    """Returns the leader and its state, or None."""
    for vm in fleet.cores:
        state = get_state(fleet, vm)
        if state.get("role") == "leader" and state.get("ready"):
            return vm, state
    return None


@then("{count:d} control VMs vote within {within_s:d} s")
def check_voters(context, count, within_s):
    fleet = context.fleet

    def all_vote():
        found = find_leader(fleet)
        if found is None:
            return False
        members = found[1]["members"]["members"]
        voters = {member["id"] for member in members if member.get("voter")}
        # A VM that has lost its disk rejoins as a new member.
        member_ids = {get_state(fleet, vm).get("member") for vm in fleet.cores}
        return len(voters) == count and voters == member_ids

    fleet.wait_for(all_vote, within_s)


@when("a control VM that is no seed is the leader")
def make_other_leader(context):
    fleet = context.fleet

    def leads():
        found = find_leader(fleet)
        if found is None:
            return False
        vm, _ = found
        if vm.ip not in fleet.seeds:
            return True
        vm.kill()
        vm.start()
        return False

    fleet.wait_for(leads, 2 * LEADER_WITHIN_S)


@when("two seeds are killed, lose their disks, and are started again")
def lose_two(context):
    seeds = context.fleet.cores[:2]
    for vm in seeds:
        vm.kill()
        vm.lose_disk()
    for vm in seeds:
        vm.start()


def list_voters(fleet):
    """Returns the ids of the voters by the leader; empty without a leader."""
    found = find_leader(fleet)
    if found is None:
        return set()
    members = found[1]["members"]["members"]
    return {member["id"] for member in members if member.get("voter")}


def find_follower(fleet):
    """Waits for a leader; returns an older VM that follows it."""
    fleet.wait_for(lambda: find_leader(fleet) is not None, LEADER_WITHIN_S)
    leader, _ = find_leader(fleet)
    return next(vm for vm in fleet.cores if vm is not leader)


@when("an empty control VM elsewhere has joined as a voter")
def add_member(context):
    fleet = context.fleet
    vm = platform_lib.Vm(fleet, "core-new", "core", "brest", f"{fleet.net}.14")
    vm.bootstrap = False
    fleet.cores.append(vm)
    vm.start()
    count = len(fleet.cores)
    fleet.wait_for(lambda: len(list_voters(fleet)) == count, LEADER_WITHIN_S)


def end_follower(context, number):
    vm = find_follower(context.fleet)
    assert vm.kill(number) == (0 if number == signal.SIGTERM else -number)
    return vm


@when("a control VM that follows is stopped for good")
def stop_for_good(context):
    context.fleet.cores.remove(end_follower(context, signal.SIGTERM))


@when("a control VM that follows is killed for good")
def kill_for_good(context):
    context.fleet.cores.remove(end_follower(context, signal.SIGKILL))


@when("a control VM that follows is stopped")
def stop_follower(context):
    end_follower(context, signal.SIGTERM)


@when("a control VM that follows is stopped and started again")
def restart_follower(context):
    end_follower(context, signal.SIGTERM).start()


@when("another control VM that follows loses its disk and is started again")
def lose_one(context):
    vm = find_follower(context.fleet)
    vm.kill()
    vm.lose_disk()
    vm.start()


@when("{ms:d} ms go by")
def wait(_, ms):
    time.sleep(ms / 1000)


@then("the group counts {count:d} voters")
def check_counted(context, count):
    voters = list_voters(context.fleet)
    assert len(voters) == count, voters


@when("the second control VM is killed and started again with an empty disk")
def lose_at_start(context):
    vm = context.fleet.cores[1]
    vm.kill()
    vm.lose_disk()
    assert not vm.bootstrap
    time.sleep(RESTART_S)
    vm.start()
