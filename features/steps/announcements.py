"""Steps about announcements of backend servers."""

import collections
import time

from behave import then
from behave import when
import httpx

from bench import deployment as deployment_lib

LOOKUP_REQUESTS = 60


def _list_targets(context):
    rows = context.deployment.operate("/v1/show", {})["records"]
    return {r["target"]["address"]: r["target"] for r in rows if "target" in r}


def _get_addresses(context, data_centre):
    address = next(iter(context.deployment.callers_addresses.values()))
    got = httpx.get(
        f"http://{address}/v1/addresses",
        params={"service": "dossier", "data_centre": data_centre},
        trust_env=False,
        verify=False,
    )
    return got.json()["addresses"]


@then("a caller in {data_centre} gets the entry in {same} first")
def check_near(context, data_centre, same):
    deployment = context.deployment
    near = {
        deployment.callers_addresses[name]
        for name in deployment.entries
        if deployment.entry_data_centre(name) == same
    }
    for _ in range(LOOKUP_REQUESTS):
        assert _get_addresses(context, data_centre)[0] in near


@then("callers in no data centre are spread over all entries")
def check_spread(context):
    firsts = collections.Counter(
        _get_addresses(context, "")[0] for _ in range(LOOKUP_REQUESTS)
    )
    assert set(firsts) == set(context.deployment.callers_addresses.values())


@when("a backend server of {service} stops announcing itself")
def end_announcing(context, service):
    context.stopped = context.deployment.server_addresses[service][0]
    where = {"address": context.stopped}
    context.deployment.call_servers("/set", {"where": where, "announce": False})


@then("its target is removed within {seconds:d} s")
def check_removed(context, seconds):
    deployment_lib.wait_for(
        lambda: context.stopped not in _list_targets(context),
        seconds,
        "its target is removed",
    )


@when("it announces itself again")
def begin_announcing(context):
    where = {"address": context.stopped}
    context.deployment.call_servers("/set", {"where": where, "announce": True})


@then("its target is known within {seconds:d} s")
def check_known(context, seconds):
    deployment_lib.wait_for(
        lambda: context.stopped in _list_targets(context),
        seconds,
        "its target is known",
    )


def _announce(context, **changed):
    servers = context.deployment.call_servers("/servers")
    server = next(s for s in servers if s["service"] == "dossier")
    names = ("service", "address", "data_centre", "slots", "instance", "state")
    announcement = {name: server[name] for name in names} | changed
    address = next(iter(context.deployment.callers_addresses.values()))
    context.reply = httpx.post(
        f"http://{address}/v1/announce",
        json=announcement,
        trust_env=False,
        verify=False,
    )


@when("an address of dossier is announced for {service}")
def announce_for(context, service):
    _announce(context, service=service)


@when('an announcement says "{field}" is "{value}"')
def announce_malformed(context, field, value):
    content = int(value) if value.lstrip("-").isdigit() else value
    _announce(context, **{field: content})


@when("an announcement of {length:d} bytes is sent")
def announce_long(context, length):
    _announce(context, more="x" * length)


@then("the announcement is refused with status {status:d}")
def check_refused(context, status):
    assert context.reply.status_code == status, context.reply.text
    assert context.reply.json()["remedy"], context.reply.text


@when("the backend servers of {service} announce {slots:d} slots")
def announce_slots(context, service, slots):
    context.deployment.call_servers(
        "/set",
        {
            "where": {"service": service},
            "announced_slots": slots,
            "instance": "claims-more",
        },
    )
    deployment_lib.wait_for(
        lambda: all(
            target["slots"] == slots
            for target in _list_targets(context).values()
            if target["service"] == service
        ),
        10,
        "the announced slots are known",
    )


@when("the backend servers of {service} in {data_centre} leave")
def leave(context, service, data_centre):
    where = {"service": service, "data_centre": data_centre}
    context.left_at = time.time()
    context.leaving = context.deployment.call_servers(
        "/set", {"where": where, "state": "leaving"}
    )
    time.sleep(7)


@then("they got no new work later than {limit_ms:d} ms after announcing it")
def check_left(context, limit_ms):
    after = [
        run["started"] - context.left_at
        for run in context.deployment.list_runs()
        if run["address"] in context.leaving
    ]
    assert min(after) < 0, "they had work before"
    assert max(after) <= limit_ms / 1000, max(after)
    print(f"last new work after {1000 * max(after):.0f} ms")


@when("all backend servers restart at once")
def restart_all_servers(context):
    changes = {"instance": "restarted", "cold_runs": 10, "state": "ready"}
    context.deployment.call_servers("/set", changes)


@then("all new instances are known within {seconds:d} s")
def check_instances(context, seconds):
    deployment_lib.wait_for(
        lambda: (
            [t["instance"] for t in _list_targets(context).values()]
            == ["restarted"] * 9
        ),
        seconds,
        "all new instances are known",
    )


@when("a kill ends the entry {name}")
def kill_entry(context, name):
    context.killed = name
    context.deployment.entries[name].kill()


@then("all targets have an owner that runs within {seconds:d} s")
def check_owners(context, seconds):
    deployment = context.deployment

    def are_owned():
        owned = [
            deployment.dump_entry(name)["owned"]
            for name in deployment.entries
            if name != context.killed
        ]
        return sum(map(len, owned)) == 9

    deployment_lib.wait_for(are_owned, seconds, "all have an owner")


@then("no target is removed within {seconds:d} s")
def check_kept(context, seconds):
    until = time.monotonic() + seconds
    while time.monotonic() < until:
        targets = _list_targets(context)
        assert len(targets) == 9, sorted(targets)
        time.sleep(0.5)
