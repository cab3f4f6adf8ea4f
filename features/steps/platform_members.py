"""Steps of a control group in which not all members are seeds."""

from behave import then
from behave import when
import httpx

from cardamomkeel.platform import process

# Offset of the range for traffic between VMs from the port of control.
FIRST_INTERNAL_OFFSET = 3
LEADER_WITHIN_S = 20.0


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
