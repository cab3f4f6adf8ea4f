"""Steps that check routes and configurations before they are sent."""

import json
import pathlib
import tempfile

from behave import then
from behave import when
import typer
import typer.testing

from bench import platform as platform_lib
from cardamomkeel.accounts import digests
from cardamomkeel.operators import cmdline
from cardamomkeel.platform import check as platform_check
from features.steps import routes as routes_steps

TEXT = """{
  "routes": [
    {
      "host": "desk.example",
      "prefix": "/look/",
      "parts": [{"service": "dossier", "weight": 1}],
      // A comment: "attempts": 7, {
      "idempotent": true,
      "attempts": 1,
      "objective_ms": 600,
      "timeout_ms": 2000}
  ],
  "services": {
    "dossier": {"cold_ms": 3000, "cold_per_s": 4},
    "keepsake": {}
  },
  "accounts": [
    {"name": "clinic", "key_digests": ["DIGEST"], "rate_per_s": 5}
  ],
  "limits": {"header_bytes": 16384, "header_ms": 3000}
}
""".replace("DIGEST", digests.make(b"key-1"))
USED = ('    "keepsake": {}\n', "\n"), ("4},\n", "4}\n")
CHANGES = {
    "no change": [],
    "a host with a scheme": [("desk.example", "http://desk.example")],
    "a prefix in Breton": [("/look/", "/skouarn-gleñv/")],
    "weights of 0": [('"weight": 1', '"weight": 0')],
    "a late objective": [('"objective_ms": 600', '"objective_ms": 2600')],
    "no request while cold": [('"cold_per_s": 4', '"cold_per_s": 0')],
    "an account without a key": [(f'["{digests.make(b"key-1")}"]', "[]")],
    "a burst without a rate": [('"rate_per_s": 5', '"burst": 5')],
    "too low a rate": [('"rate_per_s": 5', '"rate_per_s": 0.5')],
    "accounts without use": [('"attempts"', '"keyless": true, "attempts"')],
    "a header below a key": [("16384", "30")],
    "slow headers": [('"header_ms": 3000', '"header_ms": 30000')],
    "too few attempts": [('"attempts": 1', '"attempts": 0')],
}


def make_text(change):
    text = TEXT
    if change == "a service without use":
        return text
    for old, new in [*USED, *CHANGES[change]]:
        assert old in text, old
        text = text.replace(old, new)
    return text


def write(context, text, name="routes.json"):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
    path = folder / name
    path.write_text(text, encoding="utf-8")
    context.add_cleanup(folder.rmdir)
    context.add_cleanup(path.unlink)
    return str(path)


def check(context, *args, app=cmdline.app):
    context.ran = typer.testing.CliRunner().invoke(app, [*args])


@when("routes are checked with {change}")
def check_text(context, change):
    change, *options = change.split(", as ")
    path = write(context, make_text(change))
    check(context, "routes", "check", path, *(["--json"] if options else []))


@then("the check ends with status {status:d}")
def check_status(context, status):
    assert context.ran.exit_code == status, context.ran.output


@then('it finds "{text}" at line {line:d}')
def check_found(context, text, line):
    found = [row for row in context.ran.output.splitlines() if text in row]
    assert len(found) == 1, context.ran.output
    assert f".json:{line}:" in found[0], found


@then('it prints "{text}"')
def check_printed(context, text):
    assert text in context.ran.output, context.ran.output


@when("routes are compared with the same ones")
def compare_same(context):
    path = write(context, make_text("no change"))
    check(context, "routes", "check", path, "--against", path)


@when("routes are compared with others")
def compare_others(context):
    content = routes_steps.make_routes(attempts=2, objective_ms=600)
    content["accounts"] = [
        {"name": "clinic", "key_digests": [digests.make(b"key-2")]}
    ]
    other = routes_steps.make_routes()
    other["routes"].append(other["routes"][0] | {"prefix": "/confirm/"})
    other["services"] = {"creneau": {}}
    for route in other["routes"]:
        route["parts"] = [{"service": "creneau", "weight": 1}]
    other["accounts"] = [
        {"name": "clinic", "key_digests": [digests.make(b"key-1")]}
    ]
    new, old = (write(context, json.dumps(text)) for text in (content, other))
    check(context, "routes", "check", new, "--against", old)


@then("the JSON has a warning at line {line:d}, column {column:d}")
def check_json(context, line, column):
    (found,) = json.loads(context.ran.output)["findings"]
    assert found["level"] == "warning", found
    # The value itself, inside the account.
    assert found["line"] == line, found
    assert found["column"] >= column, found


def make_platform_app():
    app = typer.Typer()
    app.command()(platform_check.check)
    return app


@when("a configuration with a finding of each kind is checked")
def check_platform(context):
    config = platform_lib.make_config(2, 1)
    split = config["routes"]["columns"].index("traffic-split")
    parts = [{"service": "dossier", "weight": 0}]
    config["routes"]["rows"][0][split] = parts
    config["limits"]["header-timeout-ms"] = 16_000
    config["tenants"] = {
        "columns": ["name", "api-keys"],
        "rows": [["one", ["key-1"]], ["two", []]],
    }
    old = write(context, json.dumps(platform_lib.make_config(1)))
    new = write(context, json.dumps(config))
    check(context, new, "--against", old, app=make_platform_app())


@when("a configuration of no version is checked")
def check_no_version(context):
    config = platform_lib.make_config(2, 1, version="")
    path = write(context, json.dumps(config))
    check(context, path, app=make_platform_app())


@when("routes are compared with those in force before there are any")
def compare_none_in_force(context):
    path = write(context, make_text("no change"))
    compare_in_force(context, path)


@when('the routes of "{path}" are compared with those in force')
def compare_in_force(context, path):
    context.ran = context.routed.run("routes", "check", path, "--in-force")
    context.ran.output = context.ran.stdout + context.ran.stderr
