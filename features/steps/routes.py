"""Steps that apply routes with the product's commands and programs."""

import concurrent.futures
import json
import pathlib
import tempfile
import time

from behave import given
from behave import then
from behave import when
import httpx
import typer.testing

from bench import routed as routed_lib
from cardamomkeel.operators import cmdline

ROOT = pathlib.Path(__file__).parents[2]
SERVICES = ("dossier", "creneau", "creneau-next")
# Entries apply a change within their lease, also on a busy machine.
FOLLOWS_WITHIN_S = 20.0


def check_file(context, path):
    context.ran = typer.testing.CliRunner().invoke(
        cmdline.app, ["routes", "check", str(path)]
    )
    context.output = context.ran.output
    context.status = context.ran.exit_code


def write(context, content):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
    path = folder / "routes.json"
    path.write_text(json.dumps(content), encoding="utf-8")
    context.add_cleanup(folder.rmdir)
    context.add_cleanup(path.unlink)
    return path


def make_routes(**changes):
    route = {
        "host": routed_lib.HOST_NAME,
        "prefix": "/look/",
        "parts": [{"service": "dossier", "weight": 1}],
        "idempotent": True,
        "timeout_ms": 2000,
        "objective_ms": 600,
    }
    for name in ("service", "weight"):
        if name in changes:
            route["parts"][0][name] = changes.pop(name)
    return {"routes": [route | changes], "services": {"dossier": {}}}


def run(context, *args):
    context.ran = context.routed.run(*args)
    context.output = context.ran.stdout + context.ran.stderr
    context.status = context.ran.returncode


@when('the routes of "{path}" are checked')
def check_routes(context, path):
    check_file(context, ROOT / path)


@when("routes are checked in which {field} is {value}")
def check_wrong(context, field, value):
    content = make_routes(**{field: json.loads(value)})
    check_file(context, write(context, content))


@then('the command ends with status {status:d} and prints "{text}"')
def check_output(context, status, text):
    assert context.status == status, (context.status, context.output)
    assert text in context.output, context.output


@when('the routes of "{path}" are applied on {base:d}')
def apply_file(context, path, base):
    args = ["--base-number", str(base), "--wait"]
    run(context, "routes", "apply", str(ROOT / path), *args)


@when("other routes are applied on {base:d}")
def apply_others(context, base):
    context.other = write(context, make_routes(prefix="/other/"))
    args = ["--base-number", str(base), "--wait"]
    run(context, "routes", "apply", str(context.other), *args)


def check_text(context, path):
    run(context, "routes", "show", "--text")
    assert context.output == path.read_text(encoding="utf-8"), context.output


@then("the text in force is that of the other routes")
def check_other_text(context):
    check_text(context, context.other)


@then('the text in force is that of "{path}"')
def check_file_text(context, path):
    check_text(context, ROOT / path)


@when("the control VMs are killed and started again")
def restart_controls(context):
    processes = context.routed.controls.controls.values()
    for process in processes:
        process.kill()
    for process in processes:
        process.start()

    def is_answered():
        run(context, "routes", "show")
        return context.status == 0

    context.routed.wait_for(is_answered, "the group answers")


@given("a target of each service in each data centre")
def add_targets(context):
    context.targets = [
        context.routed.add_target(service, data_centre)
        for service in SERVICES
        for data_centre in routed_lib.DATA_CENTRES
    ]
    # The rows of new targets are delayed by the pause that limits all rows.
    for entry in context.routed.entries:
        context.routed.wait_for(
            lambda entry=entry: context.routed.has_targets(
                entry, context.targets
            ),
            "every entry knows all targets",
        )


def count_runs(context, service, data_centre=None):
    return sum(
        len(target.arrivals)
        for target in context.targets
        if target.service == service
        and data_centre in (None, target.data_centre)
    )


@then("a lookup is answered by dossier at each entry")
def check_look_ups(context):
    routed = context.routed
    for number in range(len(routed.entries)):
        routed.wait_for(
            lambda number=number: (
                routed.call("/look/1", entry=number).status_code == 200
            ),
            "a lookup is answered",
        )
    others = [t for t in context.targets if t.service != "dossier"]
    assert not any(target.arrivals for target in others)
    paths = {a.path for t in context.targets for a in t.arrivals}
    assert paths == {"/look/1"}, paths


@then(
    "of {count:d} confirmations {min_runs:d} to {max_runs:d} are run by "
    "creneau-next, "
    "the rest by creneau"
)
def check_split(context, count, min_runs, max_runs):
    for _ in range(count):
        got = context.routed.call("/confirm/1", "POST", b"x")
        assert got.status_code == 200, got.text
    smaller = count_runs(context, "creneau-next")
    assert min_runs <= smaller <= max_runs, smaller
    assert smaller + count_runs(context, "creneau") == count


@then("a path without a route is answered with {status:d}")
def check_no_route(context, status):
    assert context.routed.call("/nowhere/1").status_code == status


@when("the operator takes {data_centre} out")
def take_out(context, data_centre):
    run(context, "take-out", "--data-centre", data_centre, "--wait", "--force")
    assert context.status == 0, context.output


@when("the operator brings {data_centre} back")
def bring_back(context, data_centre):
    run(context, "bring-back", "--data-centre", data_centre, "--wait")
    assert context.status == 0, context.output


@when("the server of dossier in brest is taken out of service")
def take_server_out(context):
    address = context.targets[0].address
    run(context, "take-out", "--server", address, "--wait", "--force")
    assert context.status == 0, context.output


@when("the server of dossier in brest is put back into service")
def bring_server_back(context):
    run(context, "bring-back", "--server", context.targets[0].address, "--wait")
    assert context.status == 0, context.output


@then("{count:d} lookups run in vannes alone")
def check_only(context, count):
    before = count_runs(context, "dossier", "brest")
    for _ in range(count):
        assert context.routed.call("/look/1").status_code == 200
    assert count_runs(context, "dossier", "brest") == before


@then("lookups run in brest again")
def check_again(context):
    before = count_runs(context, "dossier", "brest")

    def runs():
        context.routed.call("/look/1")
        return count_runs(context, "dossier", "brest") > before

    context.routed.wait_for(runs, "it runs there again", FOLLOWS_WITHIN_S)


@when("the target of dossier in brest announces that it is draining")
def drain(context):
    routed = context.routed
    target = context.targets[0]
    got = routed.announce(target, state="draining")
    assert got.status_code == 200, got.text

    def is_known():
        dump = routed.controls.call(routed.entries[0].operators, "/dump")
        return target.address not in dump.json()["targets"]

    routed.wait_for(is_known, "the entry knows it", FOLLOWS_WITHIN_S)


@then("an announcement of a service that no route names is refused with 404")
def check_unknown_service(context):
    got = context.routed.announce(context.targets[0], service="nobody")
    assert got.status_code == 404, got.text
    assert got.json()["remedy"], got.text


@then("an announcement without slots is refused with 400 and a remedy")
def check_without_slots(context):
    got = context.routed.announce_raw(b'{"service": "dossier"}')
    assert got.status_code == 400, got.text
    assert got.json()["remedy"], got.text


@when("the first entry is stopped while lookups are sent to it")
def stop_entry(context):
    routed = context.routed
    context.results = []

    def look_up():
        until = time.monotonic() + 0.8
        while time.monotonic() < until:
            try:
                context.results.append(routed.call("/look/1").status_code)
            except httpx.HTTPError as exc:
                context.results.append(repr(exc))

    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        futs = [pool.submit(look_up) for _ in range(4)]
        time.sleep(0.2)
        context.status = routed.entries[0].process.stop()
        for fut in futs:
            fut.result(20)


@then("it ends with status 0, and every lookup was answered")
def check_all_answered(context):
    assert context.status == 0, context.status
    assert len(context.results) > 10, context.results
    assert set(context.results) == {200}, context.results


@then("the second entry lists only its own address")
def check_only_address(context):
    routed = context.routed
    second = routed.entries[1]
    routed.wait_for(
        lambda: routed.list_entries(second) == [second.callers],
        "it lists only its own address",
        FOLLOWS_WITHIN_S,
    )
