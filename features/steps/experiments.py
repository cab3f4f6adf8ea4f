"""Steps of the load and experiment tool."""

import json
import pathlib
import subprocess
import sys
import threading

from behave import given
from behave import then
from behave import when

ROOT = pathlib.Path(__file__).parents[2]
TIMEOUT_S = 60
KILL_DELAY_S = 1.0
MS_PER_SECOND = 1000.0


def _run(context, *args):
    context.completed = subprocess.run(
        [sys.executable, "-m", "cardamomkeel.experiments.cmdline", *args],
        cwd=ROOT,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
        check=False,
    )


@when('the plan "{path}" is checked')
def check_plan(context, path):
    _run(context, "check", path)


@given(
    "a plan that takes {name} out at {out:d} s and brings it back at "
    "{back:d} s of {seconds:d} s"
)
def make_plan(context, name, out, back, seconds):
    context.plan = {
        "name": "leaves and returns",
        "seconds": seconds,
        "rate": 60,
        "calls": [
            {"service": "dossier", "share": 0.7},
            {"service": "creneau", "method": "POST", "once": True},
        ],
        "changes": [
            {"at_s": out, "take_out": name},
            {"at_s": back, "bring_back": name},
        ],
    }


def _write_plan(context) -> str:
    path = context.deployment.folder / "plan.json"
    path.write_text(json.dumps(context.plan))
    return str(path)


@when("the plan is run while an entry is killed")
def run_plan(context):
    deployment = context.deployment
    context.figures = deployment.folder / "figures.json"
    args = ["run", _write_plan(context)]
    for address in deployment.callers_addresses.values():
        args += ["--entry", address]
    for address in deployment.control_operators.values():
        args += ["--at", address]
    args += ["--secret-file", str(deployment.secret_file)]
    args += ["--result-file", str(context.figures)]
    kill = threading.Timer(KILL_DELAY_S, deployment.entries["entry-3"].kill)
    kill.start()
    _run(context, *args)
    kill.join()


@then("it ends with status {status:d} and wrote its figures")
def check_figures(context, status):
    assert context.completed.returncode == status, context.completed
    context.written_figures = json.loads(context.figures.read_text())


def _count(context, service, figure) -> int:
    return sum(
        calls[figure]
        for phase in context.written_figures["phases"]
        for calls in phase["calls"]
        if calls["service"] == service
    )


@then("its count of answered calls matches what the backend servers ran")
def check_counts(context):
    print(context.completed.stdout)
    record = context.deployment.list_runs()
    keys = [run["key"] for run in record if run["service"] == "creneau"]
    assert len(keys) == len(set(keys)), "a booking ran twice"
    answered = _count(context, "creneau", "answered")
    unknown = _count(context, "creneau", "unknown")
    assert answered <= len(keys) <= answered + unknown, (answered, len(keys))
    lookups = sum(run["service"] == "dossier" for run in record)
    assert 0 < _count(context, "dossier", "answered") <= lookups


@then("both changes were in force within {seconds:d} s")
def check_changes(context, seconds):
    changes = context.written_figures["changes"]
    assert len(changes) == 2, context.completed
    late = [c for c in changes if c["in_force_ms"] > seconds * MS_PER_SECOND]
    assert not late, late


@when("its figures are compared with themselves")
def compare_same(context):
    _run(context, "compare", str(context.figures), str(context.figures))


@when("its figures are compared with those of another plan")
def compare_other(context):
    other = context.deployment.folder / "other.json"
    other.write_text(json.dumps(context.written_figures | {"digest": "other"}))
    _run(context, "compare", str(context.figures), str(other))
