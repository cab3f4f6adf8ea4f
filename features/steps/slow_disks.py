"""Steps about control VMs whose disks are slow."""

import json
import time

from behave import given
from behave import then
from behave import when

from bench import platform as platform_lib

LEADS = "became leader"
PROMOTED = "promoting learner to voter"
REMOVED = "removed unresponsive member"


@given("{count:d} control VMs that have accepted a change")
def start_fleet(context, count):
    context.fleet = platform_lib.Fleet(
        fronts=0, cores=count, can_slow_disks=True
    )
    context.add_cleanup(context.fleet.close)
    context.fleet.start()
    context.number = 0
    send_changes(context, 1)


@given("each sync of their disks takes {least_ms:d} to {most_ms:d} ms")
def slow_down(context, least_ms, most_ms):
    for vm in context.fleet.cores:
        vm.slow_disk(least_ms, most_ms)
    context.elections = len(find_elections(context))


@given("the fourth one votes")
def wait_for_promotion(context):
    context.fleet.wait_for(lambda: find_lines(context, PROMOTED))


def find_lines(context, text):
    """Returns the lines of the logs of all VMs that contain a text."""
    return [
        line
        for vm in context.fleet.cores
        for line in vm.log().splitlines()
        if text in line
    ]


def find_elections(context):
    """Returns when each leader was elected, and its VM."""
    elections = map(json.loads, find_lines(context, LEADS))
    return sorted((row["time"], row["process_name"]) for row in elections)


@when("{count:d} changes are sent, one after another")
def send_changes(context, count):
    context.got = []
    for _ in range(count):
        context.number += 1
        config = platform_lib.make_config(context.number, context.number - 1)
        context.got.append(
            context.fleet.call_control("PUT", "/-/config", config)
        )


@when("the leader is killed")
def kill_leader(context):
    _, name = find_elections(context)[-1]
    [leader] = [vm for vm in context.fleet.cores if vm.name == name]
    leader.kill()


@when("all of them are killed and start again")
def restart_all(context):
    for vm in context.fleet.cores:
        vm.kill()
    for vm in context.fleet.cores:
        vm.start()


@then("each is accepted within 20 s")
def check_accepted(context):
    # The calls raise an error after this time.
    assert all(got.status_code == 200 for got in context.got), context.got


@then("at most {count:d} leaders have been elected since")
def check_elections(context, count):
    elections = find_elections(context)[context.elections :]
    assert len(elections) <= count, elections


@then("no member has been removed")
def check_not_removed(context):
    removed = find_lines(context, REMOVED)
    assert not removed, removed


@given(
    "each sync of the deployment's disks takes {least_ms:d} to {most_ms:d} ms"
)
def slow_deployment_down(context, least_ms, most_ms):
    context.deployment.slow_disks(least_ms, most_ms)


@when("an operator takes a data centre out and brings it back, {count:d} times")
def take_out_repeatedly(context, count):
    context.took_s = []
    data_centre = context.deployment.shape.data_centres[0]
    for path in ["/v1/take-out", "/v1/bring-back"] * count:
        sent_at = time.monotonic()
        context.deployment.change_data_centre(path, data_centre)
        context.took_s.append(time.monotonic() - sent_at)


@then("each of these calls was answered within {limit_s:d} s")
def check_answered(context, limit_s):
    assert max(context.took_s) <= limit_s, context.took_s
