"""Steps for backend servers in cold start."""

import concurrent.futures
import time

from behave import then
from behave import when

from bench import caller as caller_lib
from bench import deployment as deployment_lib
from features.steps import ownership

# How long requests may be in transit after their connections broke.
TRANSIT_S = 0.2
IDLE_COLD_RUNS = 30


def _announce(deployment, service, state):
    deployment.call_servers(
        "/set", {"where": {"service": service}, "state": state}
    )


def _wait_known(deployment, service, is_cold):
    """Waits until the owners have applied the announced state."""
    expected = 1 if is_cold else deployment.shape.slots

    def is_known():
        rows = [
            row
            for name in deployment.entries
            for row in deployment.dump_entry(name).get("owned", {}).values()
            if row["service"] == service
        ]
        return all(row["limit"] == expected for row in rows)

    deployment_lib.wait_for(is_known, 10.0, f"{service} cold: {is_cold}")


@when("the targets of {service} announce that they are cold")
def announce_cold(context, service):
    # Keeps a failed scenario from leaving cold targets to the next ones.
    context.add_cleanup(announce_ready, context, service)
    _announce(context.deployment, service, "cold")
    _wait_known(context.deployment, service, is_cold=True)


@when("they are cold for their next {count:d} runs")
def set_cold_runs(context, count):
    context.deployment.call_servers(
        "/set", {"where": {"service": "dossier"}, "cold_runs": count}
    )


@when("the targets of {service} announce that they are ready")
def announce_ready(context, service):
    deployment = context.deployment
    deployment.call_servers(
        "/set", {"where": {"service": service}, "cold_runs": 0}
    )
    _announce(deployment, service, "ready")


@then("every target of {service} reaches its full limit within {seconds:d} s")
def check_warm(context, service, seconds):
    deployment = context.deployment
    with ownership.load(deployment, service):
        deployment_lib.wait_for(
            lambda: ownership.is_warm(deployment, service),
            seconds,
            "targets are warm",
        )


@when("one target of {service} crashes under load")
def crash_one(context, service):
    deployment = context.deployment
    context.crashed = deployment.server_addresses[service][0]
    with ownership.load(deployment, service):
        time.sleep(0.5)
        # Cold without an announcement: two requests at a time make it crash.
        deployment.call_servers(
            "/set", {"where": {"address": context.crashed}, "cold_runs": 50}
        )
        deployment_lib.wait_for(
            lambda: _get_crashed_server(context)["crashes"] > 0,
            5.0,
            "it crashes",
        )
        time.sleep(TRANSIT_S)
        context.overruns = _get_crashed_server(context)["overruns"]
        time.sleep(1)


def _get_crashed_server(context):
    (server,) = [
        row
        for row in context.deployment.call_servers("/servers")
        if row["address"] == context.crashed
    ]
    return server


@then("after its first failure the target ran no more than it can handle")
def check_no_more_overruns(context):
    assert context.overruns >= 1, "the target did not crash"
    assert _get_crashed_server(context)["overruns"] == context.overruns, (
        _get_crashed_server(context)
    )


@when("the targets of {service} announce nothing")
def announce_nothing(context, service):
    deployment = context.deployment
    deployment.call_servers(
        "/set", {"where": {"service": service}, "announce": False}
    )
    # An announcement in transit must not arrive after the crash.
    time.sleep(TRANSIT_S)
    deployment.call_servers("/clear")


@when("every target of {service} crashes while it is idle")
def crash_all_idle(context, service):
    for address in context.deployment.server_addresses[service]:
        context.deployment.call_servers("/crash", {"address": address})
    time.sleep(TRANSIT_S)


@when("every target of {service} becomes cold and has no work for {ms:d} ms")
def make_cold_while_idle(context, service, ms):
    deployment = context.deployment
    deployment.call_servers("/clear")
    deployment.call_servers(
        "/set",
        {
            "where": {"service": service},
            "cold_runs": IDLE_COLD_RUNS,
            "tells_state": True,
        },
    )
    time.sleep(ms / 1000)


@when("{count:d} requests for {service} are sent at once through each entry")
def send_burst(context, count, service):
    deployment = context.deployment
    addresses = list(deployment.callers_addresses.values()) * count
    with concurrent.futures.ThreadPoolExecutor(len(addresses)) as pool:
        list(
            pool.map(
                lambda address: caller_lib.Caller([]).call(
                    service, address=address
                ),
                addresses,
            )
        )
    where = {"where": {"service": service}}
    deployment.call_servers("/set", where | {"announce": True})
