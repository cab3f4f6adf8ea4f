"""Steps for entries that can't confirm their settings."""

import json

from behave import then
from behave import when
import httpx

from bench import deployment as deployment_lib


def _list_other_addresses(context):
    addresses = context.deployment.callers_addresses
    return {a for name, a in addresses.items() if name != "entry-1"}


@then("the message names the addresses of the other entries")
def check_names_others(context):
    remedy = json.loads(context.got.body)["remedy"]
    for address in _list_other_addresses(context):
        assert address in remedy, remedy


@then("entry-1 forwarded no more requests after {seconds:d} s")
def check_no_more_work(context, seconds):
    assert context.passed_s == seconds
    own = [call for call in list(context.load.calls) if call.entry == "entry-1"]
    assert own[-1].got.outcome == "not-run", own[-1]


@then("entry-1 rejects address requests and names the other entries")
def check_addresses(context):
    address = context.deployment.callers_addresses["entry-1"]
    got = httpx.get(
        f"http://{address}/v1/addresses?service=dossier",
        trust_env=False,
        verify=False,
    )
    assert got.status_code == 503, got.text
    assert set(got.json()["addresses"]) == _list_other_addresses(context), (
        got.text
    )
    assert got.json()["keep_ms"] == 0


@then("entry-1 rejects announcements")
def check_announcements(context):
    address = context.deployment.callers_addresses["entry-1"]
    got = httpx.post(
        f"http://{address}/v1/announce",
        json={
            "service": "dossier",
            "address": "127.0.0.1:9",
            "data_centre": "brest",
            "slots": 3,
            "instance": "late",
        },
        trust_env=False,
        verify=False,
    )
    assert got.status_code == 503, got.text


@when("the relays forward all bytes again")
def heal_relays(context):
    context.deployment.relays.heal()


@then("entry-1 answers again within {seconds:d} s")
def check_answers_again(context, seconds):
    address = context.deployment.callers_addresses["entry-1"]

    def is_answered():
        got = context.caller.call("dossier", address=address)
        return got.outcome == "answered"

    deployment_lib.wait_for(is_answered, seconds, "entry-1 answers")


@then("requests reported as not run did not run")
def check_not_run(context):
    calls = context.load.stop()
    reported = {c.key for c in calls if c.key and c.got.outcome == "not-run"}
    ran = {run["key"] for run in context.deployment.list_runs()}
    assert reported, "no request was reported as not run"
    assert not reported & ran, reported & ran


@when("two control VMs are killed")
def kill_two_control_vms(context):
    for name in list(context.deployment.controls)[:2]:
        context.deployment.controls[name].kill()


@when("the control VMs are restarted")
def restart_control_vms(context):
    for name in list(context.deployment.controls)[:2]:
        context.deployment.controls[name].start()
