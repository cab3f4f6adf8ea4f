"""Steps of a control group of which not all members are seeds."""

from behave import then
from behave import when
import httpx

from cardamomkeel.platform import process

# The first port of the range for traffic between VMs, from that of control.
FIRST_INNER = 3
LEADS_WITHIN_S = 20.0


def get_state(fleet, vm):
    """Returns what a VM shows of itself; empty where it does not answer."""
    try:
        url = vm.url("/state", FIRST_INNER + process.OFFSET_OF_OPERATORS_PORT)
        got = fleet.client.get(url)
        return got.json() if got.status_code == 200 else {}
    except httpx.HTTPError:
        return {}


def find_leader(fleet):
    """Returns the VM that leads and its state, or None."""
    for vm in fleet.cores:
        state = get_state(fleet, vm)
        if state.get("role") == "leader" and state.get("ready"):
            return vm, state
    return None


@then("{count:d} control VMs vote within {within_s:d} s")
def check_voters(context, count, within_s):
    fleet = context.fleet

    def do_vote():
        found = find_leader(fleet)
        if found is None:
            return False
        members = found[1]["members"]["members"]
        voters = {member["id"] for member in members if member.get("voter")}
        # A disk that was lost counts as another member.
        own = {get_state(fleet, vm).get("member") for vm in fleet.cores}
        return len(voters) == count and voters == own

    fleet.wait_for(do_vote, within_s)


@when("a control VM that is no seed is the leader")
def have_other_lead(context):
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

    fleet.wait_for(leads, 2 * LEADS_WITHIN_S)


@when("two seeds are killed, lose their disks, and are started again")
def lose_two(context):
    two = context.fleet.cores[:2]
    for vm in two:
        vm.kill()
        vm.lose_disk()
    for vm in two:
        vm.start()
