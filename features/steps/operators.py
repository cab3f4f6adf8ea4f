"""Steps about the command line of operators."""

import pathlib
import subprocess
import sys

from behave import then
from behave import when
import httpx
import pydantic

from bench import deployment as deployment_lib
from cardamomkeel.settings import page
from cardamomkeel.settings import process

ROOT = pathlib.Path(__file__).parents[2]
COMMAND_TIMEOUT_S = 30
NEW_OWNER_REASON = "its owner is new and knows nothing of it"
# What an on-call engineer reads first.
ON_CALL_METRICS = (
    "requests_total{",
    "request_duration_seconds_bucket",
    "lease_left_seconds",
    "owned_targets",
    "slots_in_use",
    "requests_in_flight",
    "measuring_messages_total",
    "measuring_bytes_total",
)


def _run_command(args):
    return subprocess.run(
        [sys.executable, "-m", "cardamomkeel", *args],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=COMMAND_TIMEOUT_S,
        check=False,
    )


@when('"{path}" is checked as settings of {program}')
def check_settings(context, path, program):
    context.completed = _run_command(["check", path, "--of", program])


@then('it prints the text of "{path}" and ends with status {status:d}')
def check_output(context, path, status):
    output = context.completed.stdout + context.completed.stderr
    expected = (ROOT / path).read_text(encoding="utf-8")
    assert output == expected, output
    assert context.completed.returncode == status, context.completed


@when("{setting} is {value:d} in the timings")
def validate_timings(context, setting, value):
    context.refusal = ""
    try:
        process.Timings(**{setting: value})
    except pydantic.ValidationError as exc:
        context.refusal = str(exc)


@then('they are refused and "{setting}" and "{other}" are named')
def check_named_settings(context, setting, other):
    assert setting in context.refusal, context.refusal
    assert other in context.refusal, context.refusal


@then("docs/settings.md is what settings-page prints")
def check_settings_page(context):
    context.page = (ROOT / "docs" / "settings.md").read_text(encoding="utf-8")
    assert context.page == page.render(), "run `cardamomkeel settings-page`"


def _run_with_secret(context, command, addresses, secret_file):
    args = [*command.split(), "--secret-file", str(secret_file)]
    for address in addresses:
        args += ["--at", address]
    context.completed = _run_command(args)


@when('the command "{command}" is run')
def run_command(context, command):
    deployment = context.deployment
    addresses = deployment.control_operators.values()
    _run_with_secret(context, command, addresses, deployment.secret_file)


@when('the command "{command}" is run at the entries')
def run_at_entries(context, command):
    deployment = context.deployment
    addresses = deployment.entry_operators.values()
    _run_with_secret(context, command, addresses, deployment.secret_file)


@when('the command "{command}" is run with a wrong secret')
def run_with_wrong_secret(context, command):
    deployment = context.deployment
    wrong = deployment.folder / "wrong-secret"
    wrong.write_text("0123456789abcdef")
    addresses = deployment.control_operators.values()
    _run_with_secret(context, command, addresses, wrong)


@when('the command "{command}" is run for one of them')
def run_for_target(context, command):
    deployment = context.deployment
    command = f"{command} {context.target_address}"
    addresses = [deployment.entry_operators["entry-1"]]
    _run_with_secret(context, command, addresses, deployment.secret_file)


@then('it prints "{words}" and ends with status {status:d}')
def check_output_contains(context, words, status):
    output = context.completed.stdout + context.completed.stderr
    assert words in output, output
    assert context.completed.returncode == status, context.completed


@when('a lookup with request id "{request_id}" is sent')
def look_up_with_id(context, request_id):
    headers = {"cardamomkeel-request-id": request_id}
    got = context.caller.call("dossier", headers=headers)
    assert got.outcome == "answered", got


@when("the backend servers of {service} in {data_centre} drain")
def drain_servers(context, service, data_centre):
    deployment = context.deployment
    where = {"service": service, "data_centre": data_centre}
    drained = deployment.call_servers(
        "/set", {"where": where, "state": "draining"}
    )
    context.target_address = drained[0]

    def is_known():
        rows = deployment.operate("/v1/show", {})["records"]
        targets = [row["target"] for row in rows if "target" in row]
        known = {t["address"] for t in targets if t["state"] == "draining"}
        return known.issuperset(drained)

    deployment_lib.wait_for(is_known, 10, "the servers drain")


@then("no dump, metric or log contains the secret")
def check_no_secret(context):
    deployment = context.deployment
    secret = deployment.secret_file.read_text().strip()
    operators = deployment.entry_operators | deployment.control_operators
    for name, address in operators.items():
        dump = deployment.call(address, "/dump")
        assert dump.status_code == 200, (name, dump.text)
        assert secret not in dump.text, name
        metrics = httpx.get(
            f"http://{address}/metrics", trust_env=False, verify=False
        )
        assert secret not in metrics.text, name
        log = (deployment.folder / f"{name}.log").read_text()
        assert log, name
        assert secret not in log, name


@then("the metrics of {name} include those needed on call")
def check_on_call_metrics(context, name):
    address = context.deployment.entry_operators[name]
    got = httpx.get(
        f"http://{address}/metrics", trust_env=False, verify=False
    ).text
    missing = [m for m in ON_CALL_METRICS if f"cardamomkeel_{m}" not in got]
    assert not missing, (missing, got)


@then('it prints "{earlier}" before "{later}"')
def check_order(context, earlier, later):
    output = context.completed.stdout
    assert earlier in output, output
    assert later in output.partition(earlier)[2], output


@when("entry {name} is killed and its targets are owned by others")
def kill_entry(context, name):
    deployment = context.deployment
    owned = deployment.dump_entry(name)["owned"]
    deployment.entries[name].kill()

    def is_taken_over():
        return all(
            any(
                address in deployment.dump_entry(other).get("owned", {})
                for other in deployment.entries
            )
            for address in owned
        )

    deployment_lib.wait_for(is_taken_over, 20, "others own its targets")


@when("every control VM is killed and started again")
def restart_controls(context):
    deployment = context.deployment
    for control in deployment.controls.values():
        control.kill()
    for control in deployment.controls.values():
        control.start()
    deployment.operate("/v1/show", {})


@when("the nearest backend server of {service} crashes")
def crash_server(context, service):
    deployment = context.deployment
    # The call leaves an unused connection to the server.
    got = context.caller.call(service)
    assert got.outcome == "answered", got
    address = deployment.server_addresses[service][0]
    deployment.call_servers("/crash", {"address": address})
    context.target_address = address

    def is_known():
        body = {"target": address}
        entry_address = deployment.entry_operators["entry-1"]
        explained = deployment.call(entry_address, "/v1/explain", body).json()
        return explained.get("fell_for", NEW_OWNER_REASON) != NEW_OWNER_REASON

    deployment_lib.wait_for(is_known, 10, "its owner resets it to cold start")


@then('it prints "{one}" or "{other}"')
def check_output_contains_either(context, one, other):
    output = context.completed.stdout
    assert context.completed.returncode == 0, context.completed
    assert one in output or other in output, output
