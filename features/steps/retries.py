"""Steps about requests that fail and are retried."""

from behave import given
from behave import step
from behave import then
from behave import when

from features.steps import not_run


@when("one {service} server truncates its answers")
def truncate_one(context, service):
    address = context.deployment.server_addresses[service][0]
    _truncate_answers(context, {"address": address})


@when("every {service} server truncates its answers")
def truncate_all(context, service):
    _truncate_answers(context, {"service": service})


def _truncate_answers(context, where):
    context.sent = []
    context.deployment.call_servers("/set", {"cut": False})
    context.deployment.call_servers("/set", {"where": where, "cut": True})


@when("{count:d} lookups are sent one after the other")
def look_up_in_turn(context, count):
    for number in range(count):
        address = context.addresses[number % len(context.addresses)]
        not_run.send_request(context, not_run.LOOKUPS, address)


@given("{count:d} lookups at the entry that owns one {service} server")
def fill_budget(context, count, service):
    """Sends lookups that fill the retry budget of the entry."""
    context.failing = context.deployment.server_addresses[service][0]
    (owner,) = [
        name
        for name in context.deployment.entries
        if context.failing in context.deployment.dump_entry(name)["owned"]
    ]
    context.owner = context.deployment.callers_addresses[owner]
    context.sent = []
    for _ in range(count):
        not_run.send_request(context, service, context.owner)


@when("that server truncates its answers")
def truncate_owned(context):
    _truncate_answers(context, {"address": context.failing})


@when("{count:d} lookups are sent to the entry that owns it")
def look_up_at_owner(context, count):
    for _ in range(count):
        not_run.send_request(context, not_run.LOOKUPS, context.owner)


@then("that server ran at most {most:d} of them")
def check_failing_server(context, most):
    paths = {sent.path for sent in context.sent}
    runs = [
        run
        for run in context.deployment.list_runs()
        if run["address"] == context.failing and run["path"] in paths
    ]
    print(f"{len(runs)} runs at the failing server")
    assert len(runs) <= most, len(runs)


@step("{count:d} lookups are sent")
def look_up(context, count):
    not_run.send_requests(context, count, [not_run.LOOKUPS])


@step("{count:d} bookings are sent")
def book(context, count):
    not_run.send_requests(context, count, [not_run.BOOKINGS])


@step("{count:d} lookups are sent at depth {depth:d}")
def look_up_deep(context, count, depth):
    headers = {"cardamomkeel-depth": str(depth)}
    not_run.send_requests(context, count, [not_run.LOOKUPS], headers=headers)


@then("every lookup was answered")
def check_answered(context):
    context.deployment.call_servers("/set", {"cut": False})
    missed = [sent for sent in context.sent if sent.got.outcome != "answered"]
    assert not missed, missed


@then("no lookup ran twice on one target")
def check_targets(context):
    runs = [
        (run["path"], run["address"]) for run in context.deployment.list_runs()
    ]
    assert len(runs) == len(set(runs)), runs


def count_runs(context, service) -> int:
    """Returns how many requests the servers of a service ran."""
    context.deployment.call_servers("/set", {"cut": False})
    record = context.deployment.list_runs()
    return len([run for run in record if run["service"] == service])


@then("the {service} servers ran at most {most:d} {kind}")
def check_most(context, service, most, kind):
    ran = count_runs(context, service)
    print(f"{ran} runs")
    assert ran <= most, (ran, kind)


@then("the {service} servers ran at least {least:d} {kind}")
def check_least(context, service, least, kind):
    ran = count_runs(context, service)
    assert ran >= least, (ran, kind)
