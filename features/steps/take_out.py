"""Steps about taking out of service and bringing back."""

import time

from behave import given
from behave import then
from behave import when
import httpx

from bench import deployment as deployment_lib
from features import load

WARM_UP_S = 1.0


@given("{count:d} callers that send lookups and bookings through all entries")
def start_load(context, count):
    addresses = context.deployment.callers_addresses
    context.load = load.Load(addresses, "dossier", "creneau", count)
    context.load.start()
    context.add_cleanup(context.load.stop)
    time.sleep(WARM_UP_S)


@given("the backend servers of {service} outside of {data_centre} are draining")
def drain(context, service, data_centre):
    deployment = context.deployment
    for other in deployment.shape.data_centres:
        if other != data_centre:
            where = {"service": service, "data_centre": other}
            deployment.call_servers(
                "/set", {"where": where, "state": "draining"}
            )

    def is_known():
        rows = deployment.operate("/v1/show", {})["records"]
        states = [r["target"]["state"] for r in rows if "target" in r]
        return states.count("draining") == 2

    deployment_lib.wait_for(is_known, 10, "both servers drain")


def _take_out(context, data_centre="", **fields):
    context.out_at = time.time()
    context.changed = context.deployment.change_data_centre(
        "/v1/take-out", data_centre, **fields
    )
    context.out_addresses = {
        server["address"]
        for server in context.deployment.call_servers("/servers")
        if data_centre
        and server["data_centre"] == data_centre
        or server["address"] == fields.get("address")
    }


def _bring_back(context, data_centre="", **fields):
    context.back_at = time.time()
    context.changed = context.deployment.change_data_centre(
        "/v1/bring-back", data_centre, **fields
    )


@when("{data_centre} is taken out for {seconds:d} s")
def take_out_for(context, data_centre, seconds):
    where = {"data_centre": data_centre}
    if data_centre.startswith("a backend server of "):
        service = data_centre.rpartition(" ")[2]
        address = context.deployment.server_addresses[service][0]
        where = {"address": address}
    _take_out(context, **where)
    assert "revision" in context.changed, context.changed
    time.sleep(seconds)
    _bring_back(context, **where)
    assert "revision" in context.changed, context.changed


@when("{data_centre} is taken out")
def take_out(context, data_centre):
    _take_out(context, data_centre)


@when("{data_centre} is taken out by force")
def force_take_out(context, data_centre):
    _take_out(context, data_centre, force=True)


@when("{data_centre} is brought back")
def bring_back(context, data_centre):
    _bring_back(context, data_centre)


@when("a freeze of {name} begins")
def begin_freeze(context, name):
    context.deployment.entries[name].freeze()


@when("a freeze of {name} ends")
def end_freeze(context, name):
    context.deployment.entries[name].thaw()


@when("{name} is cut off from control")
def partition(context, name):
    for control in context.deployment.controls:
        context.deployment.relays.inject("silence", name, control)


@when("a kill ends the control leader")
def kill_leader(context):
    deployment = context.deployment
    deployment.controls[deployment.leader()].kill()


@when("{seconds:d} s have passed")
def wait_seconds(context, seconds):
    context.passed_s = seconds
    time.sleep(seconds)


@when("the change is in force everywhere")
def wait_in_force(context):
    version = context.changed["version"]
    context.waited = context.deployment.operate(
        "/v1/wait", {"version": version}
    )
    assert context.waited["in_force"], context.waited


def _list_runs(context):
    return [
        run
        for run in context.deployment.list_runs()
        if run["address"] in context.out_addresses
    ]


@then(
    "{subject} got no new work later than {limit:d} ms after it was taken out"
)
def check_no_new_work(context, subject, limit):
    from_s = context.out_at + limit / 1000
    is_known = subject in ("it", *context.deployment.shape.data_centres)
    assert is_known, subject
    until = getattr(context, "back_at", time.time())
    runs = _list_runs(context)
    before = [run for run in runs if run["started"] < context.out_at]
    late = [run for run in runs if from_s < run["started"] < until]
    assert before, "no work before it was taken out"
    assert not late, [run["started"] - context.out_at for run in late]
    last = max(run["started"] for run in runs if run["started"] < until)
    print(f"last new work {1000 * (last - context.out_at):.0f} ms after")


@then("{subject} gets work again within {limit:d} ms")
def check_work_again(context, subject, limit):
    def has_work():
        return any(
            run["started"] > context.back_at for run in _list_runs(context)
        )

    deployment_lib.wait_for(has_work, limit / 1000, f"{subject} has work")


@then("every call was answered")
def check_all_answered(context):
    calls = context.load.stop()
    missed = load.list_not_answered(calls)
    assert len(calls) > 100, len(calls)
    assert not missed, (len(missed), len(calls), missed[:5])
    print(f"{len(calls)} calls")


@then('the change is refused and names "{words}"')
def check_refused(context, words):
    assert words in context.changed.get("message", ""), context.changed


@then('the remedy names "{words}"')
def check_remedy(context, words):
    assert words in context.changed["remedy"], context.changed


@then("the change is accepted")
def check_accepted(context):
    assert "revision" in context.changed, context.changed


@then("no entry names an entry of {data_centre} to callers")
def check_entries_of_callers(context, data_centre):
    deployment = context.deployment
    out = {
        deployment.callers_addresses[name]
        for name in deployment.entries
        if deployment.entry_data_centre(name) == data_centre
    }
    assert out
    for address in deployment.callers_addresses.values():
        got = httpx.get(
            f"http://{address}/v1/addresses",
            params={"service": "dossier", "data_centre": data_centre},
            trust_env=False,
            verify=False,
        ).json()
        assert got["addresses"], got
        assert not out & set(got["addresses"]), got
