"""Steps of a request that crashes every target that runs it."""

from behave import given
from behave import then
from behave import when

from cardamomkeel.platform import process

CRASH_PATH = "/look/crash"


@given("two more targets of dossier")
def add_two(context):
    context.added_targets = [
        context.fleet.add_target("dossier") for _ in range(2)
    ]


def list_dossier(context):
    return [t for t in context.fleet.farm.targets if t.service == "dossier"]


def list_crashed(context):
    return [
        target
        for target in list_dossier(context)
        if any(a.path == CRASH_PATH for a in target.arrivals)
    ]


@when("a lookup is sent that crashes each target that runs it")
def send_crash(context):
    fleet = context.fleet
    fleet.farm.crash_path = CRASH_PATH
    # Its route allows two attempts.
    got = fleet.call(CRASH_PATH)
    assert got.status_code >= 500, got
    assert len(list_crashed(context)) == 2, list_crashed(context)


@then("every entry knows of two crashes within {ms:d} ms")
def check_crashes_known(context, ms):
    fleet = context.fleet
    # The range for traffic between VMs starts three ports after that of
    # callers.
    port = 3 + process.OFFSET_OF_OPERATORS_PORT

    def is_known(vm):
        state = fleet.client.get(vm.url("/state", port)).json()
        return list(state["crashes"].values()) == [2]

    for vm in fleet.fronts:
        fleet.wait_for(lambda vm=vm: is_known(vm), ms / 1000)


@then("every entry refuses that lookup with the reason")
def check_refused(context):
    fleet = context.fleet
    for number in range(len(fleet.fronts)):
        got = fleet.call(CRASH_PATH, front=number)
        assert got.status_code == 503, got
        assert "crashed targets before" in got.text, got.text


@then("the last target of dossier did not receive it")
def check_not_sent(context):
    crashed = list_crashed(context)
    assert len(crashed) == 2, crashed


@then("another lookup is answered at every entry")
def check_others(context):
    fleet = context.fleet
    for number in range(len(fleet.fronts)):
        fleet.wait_for(
            lambda number=number: fleet.call(front=number).status_code == 200,
            10,
        )
