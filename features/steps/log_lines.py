"""Steps about the table of log lines and about writing them."""

import ast
import dataclasses
import itertools
import json
import os
import pathlib
import re
import sys
import time

from behave import given
from behave import then
from behave import when
import loguru

from cardamomkeel import clock
from cardamomkeel import logs
from cardamomkeel.log_lines import limits
from cardamomkeel.log_lines import page
from cardamomkeel.log_lines import registry
from cardamomkeel.log_lines import sink

ROOT = pathlib.Path(__file__).parents[2]
SOURCE = ROOT / "src" / "cardamomkeel"
# `exception` writes at level error.
LEVELS = {"exception": "error"}
METHODS = ("debug", "info", "warning", "error", "exception")
PAGES = re.compile(r"docs/[\w/-]+\.md")
# Stands for the fields that a call passes by `**`.
ANY = "**"


@dataclasses.dataclass(frozen=True)
class Written:
    """A call in the source that writes a log line."""

    place: str
    message: str
    level: str
    fields: tuple[str, ...]


def list_messages(node):
    """Returns the messages that a call may log; none if they are computed."""
    if isinstance(node, ast.Constant):
        return [node.value]
    if isinstance(node, ast.IfExp):
        return list_messages(node.body) + list_messages(node.orelse)
    return []


def list_calls(path):
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if not isinstance(node, ast.Call):
            continue
        func = node.func
        if not isinstance(func, ast.Attribute) or func.attr not in METHODS:
            continue
        if isinstance(func.value, ast.Name) and func.value.id == "logger":
            yield node


def list_written():
    for path in sorted(SOURCE.rglob("*.py")):
        for call in list_calls(path):
            level = LEVELS.get(call.func.attr, call.func.attr)
            fields = tuple(word.arg or ANY for word in call.keywords)
            place = f"{path.relative_to(SOURCE)}:{call.lineno}"
            for message in list_messages(call.args[0]):
                yield Written(place, message, level, fields)


@given("the lines that the programs write")
def scan(context):
    context.written = list(list_written())
    assert context.written


@then("each of them is in the table with its level and its fields")
def check_in_table(context):
    known = {kind.message: kind for kind in registry.list_kinds()}
    assert len(known) == len(registry.list_kinds()), "a kind is listed twice"
    wrong = [
        line
        for line in context.written
        if line.message not in known
        or line.level != known[line.message].level
        or set(line.fields) - {ANY} - set(known[line.message].fields)
    ]
    assert not wrong, wrong


@then("each kind of the table is written somewhere")
def check_written(context):
    found = {}
    for line in context.written:
        found.setdefault(line.message, set()).update(line.fields)
    unused = [
        (kind.message, field)
        for kind in registry.list_kinds()
        for field in (None, *kind.fields)
        if kind.message not in found
        or (field and not {field, ANY} & found[kind.message])
    ]
    assert not unused, unused


@then("each field of the table is explained")
def check_explained(_):
    listed = [kind.fields for kind in registry.list_kinds()]
    used = set(itertools.chain.from_iterable(listed))
    assert used == set(registry.FIELDS), used ^ set(registry.FIELDS)


@then("docs/log-lines.md is what log-page prints")
def check_page(_):
    written = (ROOT / "docs" / "log-lines.md").read_text(encoding="utf-8")
    assert written == page.render(), "run `cardamomkeel log-page`"


@then("each page that the programs name exists")
def check_pages(_):
    named = {
        (str(path.relative_to(ROOT)), found)
        for path in SOURCE.rglob("*.py")
        for found in PAGES.findall(path.read_text(encoding="utf-8"))
    }
    missing = [pair for pair in named if not (ROOT / pair[1]).exists()]
    assert named and not missing, missing


@given('a limit for lines "{message}"')
def make_limit(context, message):
    context.clock = clock.ManualClock()
    context.limit = limits.Limit(message, context.clock)


@when("{caused:d} of them are caused within a second")
def cause(context, caused):
    # The limit has been unused before, so its bucket is full.
    context.allowed = sum(context.limit.may_write() for _ in range(caused))


@then("{written:d} may be written")
def check_allowed(context, written):
    assert context.allowed == written, context.allowed


@when("another one is caused 2 s later")
def cause_later(context):
    context.lines = []
    number = loguru.logger.add(
        lambda line: context.lines.append(line.record), level="INFO"
    )
    context.clock.advance(2000)
    try:
        assert context.limit.may_write()
    finally:
        loguru.logger.remove(number)


@then("it is written after a line that counts {left:d} dropped")
def check_counted(context, left):
    (line,) = context.lines
    assert line["message"] == "dropped lines", line
    assert line["extra"]["count"] == left, line


@given("a program that logs to a pipe without a reader")
def make_pipe(context):
    context.reader, writer = os.pipe()
    context.add_cleanup(os.close, writer)
    context.add_cleanup(os.close, context.reader)
    loguru.logger.remove()
    loguru.logger.add(
        sink.Sink(writer).write, format=logs.format_line, level="INFO"
    )
    context.add_cleanup(log_to_screen)


def log_to_screen():
    loguru.logger.remove()
    loguru.logger.add(sys.stderr)


@when("it logs {count:d} lines")
def log(context, count):
    began = time.monotonic()
    for number in range(count):
        loguru.logger.info("started", member=f"vm-{number}" + "." * 100)
    context.took_s = time.monotonic() - began


# A call that waited for the reader would never return.
@then("all calls return within {max_s:d} s")
def check_took(context, max_s):
    assert context.took_s < max_s, context.took_s


@when("the reader reads again and another line is logged")
def read_again(context):
    context.got = os.read(context.reader, 1 << 20)
    loguru.logger.info("started", member="the last")
    context.got += os.read(context.reader, 1 << 20)


@then("the reader gets complete lines, and one that counts the dropped ones")
def check_got(context):
    assert context.got.endswith(b"\n"), context.got[-100:]
    lines = [json.loads(line) for line in context.got.splitlines()]
    (counted,) = [li for li in lines if li["message"] == "dropped lines"]
    assert lines[-1]["member"] == "the last", lines[-1]
    assert len(lines) - 1 + counted["count"] == 5001, (len(lines), counted)
