"""Steps that run the commands of docs/OPERATIONS.md."""

import json
import pathlib
import re
import secrets
import subprocess

from behave import given
from behave import then
from behave import when

from bench import platform as platform_lib

PAGE = pathlib.Path(__file__).parents[2] / "docs" / "OPERATIONS.md"
COMMAND = re.compile(r"^    (grep .*)$", re.MULTILINE)


@given("the commands of docs/OPERATIONS.md")
def read_commands(context):
    text = PAGE.read_text(encoding="utf-8")
    sections = re.split(r"^## ", text, flags=re.MULTILINE)[1:]
    context.commands = {
        section.splitlines()[0]: COMMAND.findall(section)
        for section in sections
    }


def run_command(context, heading, number):
    """Returns the log lines that a documented command prints, by time."""
    (section_commands,) = [
        commands
        for name, commands in context.commands.items()
        if name.startswith(heading)
    ]
    logs = " ".join(
        str(vm.folder / "log")
        for vm in context.fleet.cores + context.fleet.fronts
    )
    command = section_commands[number - 1].replace("LOGS", logs)
    command = command.replace("ID", context.request_id)
    if context.line is not None:
        command = command.replace("PROCESS", context.line["process_name"])
        command = command.replace("TARGET", context.targets[1].address)
    completed = subprocess.run(
        command, shell=True, check=False, capture_output=True, text=True
    )
    lines = [json.loads(line) for line in completed.stdout.splitlines()]
    return sorted(lines, key=lambda line: line["time"])


@when("the target of keepsake deregisters")
def deregister_target(context):
    target = context.targets[1]
    path = f"/-/instances/{target.instance}"
    got = context.fleet.call_control("DELETE", path)
    assert got.status_code == 200, got


@when("the target of keepsake ends its connections in the middle of runs")
def reset_runs(context):
    context.targets[1].default_behaviour = "reset"


@when("the target of keepsake does not answer")
def hang_runs(context):
    context.targets[1].default_behaviour = "hang"


@when(
    "the operator sends configuration {number:d} on {base:d} with a timeout "
    "of {timeout_ms:d} ms"
)
def send_config_with_timeout(context, number, base, timeout_ms):
    config = platform_lib.make_config(number, base)
    columns = config["routes"]["columns"]
    for row in config["routes"]["rows"]:
        row[columns.index("timeout-ms")] = timeout_ms
    got = context.fleet.call_control("PUT", "/-/config", config)
    assert got.status_code == 200, got


@when("a booking fails with {status:d}")
def book_until_failure(context, status):
    context.line = None
    fleet = context.fleet

    def fails():
        context.request_id = secrets.token_hex(8)
        got = fleet.call("/book/1", "POST", b"x", request_id=context.request_id)
        return got.status_code == status

    fleet.wait_for(fails, 10)


@then('command {number:d} of "{heading}" shows one line with')
def check_line(context, number, heading):
    (context.line,) = run_command(context, heading, number)
    placeholders = {"the target": [context.targets[1].address], "[]": []}
    for row in context.table:
        found = context.line[row["field"]]
        expected = placeholders.get(row["value"], row["value"])
        matches = found == expected
        if isinstance(found, str):
            matches = found.endswith(expected)
        assert matches, (row, context.line)


@then(
    'command {number:d} of "{heading}" ends with the line "{message}" of that '
    "target"
)
def check_target_line(context, number, heading, message):
    last = run_command(context, heading, number)[-1]
    assert last["message"] == message, last
    assert last["instance"] == context.targets[1].instance, last


@then('command {number:d} of "{heading}" shows that line too')
def check_same_line(context, number, heading):
    assert context.line in run_command(context, heading, number)


@then("its time limit was {limit_ms:d} ms")
def check_time_limit(context, limit_ms):
    line = context.line
    # Both figures are rounded to a tenth.
    assert abs(line["took_ms"] + line["left_ms"] - limit_ms) < 1, line


@then(
    'command {number:d} of "{heading}" ends with configuration {config:d} of '
    "that entry"
)
def check_followed_config(context, number, heading, config):
    last = run_command(context, heading, number)[-1]
    assert last["number"] == config, last
    assert last["time"] <= context.line["time"], (last, context.line)


@then(
    'command {number:d} of "{heading}" ends with configuration {config:d}, '
    "based on {base:d}"
)
def check_sent_config(context, number, heading, config, base):
    last = run_command(context, heading, number)[-1]
    assert (last["number"], last["base"]) == (config, base), last
