"""Steps about the numeric constants of the programs."""

import ast
import pathlib
import re

from behave import given
from behave import then

import cardamomkeel

CONSTANT = re.compile(r"_?[A-Z][A-Z0-9_]*$")
# The last word of the name of a constant if it is a unit. Counts end with the
# counted noun.
UNIT_WORDS = """
    MS S US BYTES BITS DIGITS SHARE FACTOR WEIGHT COST QUANTILE PORT STATUS
    ADDRESSES ANNOUNCEMENTS ANSWERS ATTEMPTS CHANGES CLAIMS CONNECTIONS
    DECISIONS ENTRIES EVENTS FAILURES HEADERS HEARTBEATS LINES MEMBERS MOVES
    PORTS PROBES REQUESTS RESULTS ROUTES ROWS SAMPLES TARGETS TOKENS
"""
UNITS = frozenset(UNIT_WORDS.split())
PER_UNIT = re.compile(r".*_PER_[A-Z]+$")
# Names of arguments that are times, shares, factors or limits.
FIGURE = re.compile(r"(.*_)?(ms|s|timeout|limit|share|factor)$")
# 0 (none) and 1 (all) need no name.
PLAIN = (0, 1)


@given("the modules of the programs")
def read_modules(context):
    root = pathlib.Path(cardamomkeel.__file__).parent
    context.modules = {
        path: path.read_text(encoding="utf-8")
        for path in sorted(root.rglob("*.py"))
        if path.parent.name != "wire"
    }
    assert len(context.modules) > 200, len(context.modules)


def is_number(node):
    """Returns whether an expression is arithmetic on number literals."""
    if isinstance(node, ast.UnaryOp):
        return is_number(node.operand)
    if isinstance(node, ast.BinOp):
        return is_number(node.left) and is_number(node.right)
    return isinstance(node, ast.Constant) and type(node.value) in (int, float)


def list_constants(text):
    """Yields the first line and the name of each constant that is a number."""
    for node in ast.parse(text).body:
        if isinstance(node, ast.Assign):
            target = node.targets[0]
        elif isinstance(node, ast.AnnAssign):
            target = node.target
        else:
            continue
        name = getattr(target, "id", "")
        if CONSTANT.match(name) and is_number(node.value):
            yield node.lineno, name


def names_unit(name):
    """Returns whether the name of a constant ends with a unit."""
    return name.rpartition("_")[2] in UNITS or bool(PER_UNIT.match(name))


def has_comment(lines, number, numbers):
    """Returns whether a constant, its group or its line has a comment."""
    if "#" in lines[number - 1]:
        return True
    above = number - 1
    while above in numbers:
        above -= 1
    return lines[above - 1].startswith("#")


@then("each constant that is a number names its unit or has a comment")
def check_constants(context):
    bare = []
    count = 0
    for path, text in context.modules.items():
        found = dict(list_constants(text))
        count += len(found)
        lines = text.splitlines()
        bare += [
            f"{path.name}: {name}"
            for number, name in found.items()
            if not names_unit(name) and not has_comment(lines, number, found)
        ]
    assert count > 150, count
    assert not bare, bare


def list_figures(text):
    """Yields the line and the name of each argument given a bare number."""
    for node in ast.walk(ast.parse(text)):
        if isinstance(node, ast.Call):
            arguments = [(k.arg or "", k.value) for k in node.keywords]
        elif isinstance(node, ast.arguments):
            named = [*node.posonlyargs, *node.args]
            with_default = named[len(named) - len(node.defaults) :]
            arguments = [
                (arg.arg, value)
                for arg, value in zip(
                    [*with_default, *node.kwonlyargs],
                    [*node.defaults, *node.kw_defaults],
                    strict=True,
                )
            ]
        else:
            continue
        for name, value in arguments:
            plain = isinstance(value, ast.Constant) and value.value in PLAIN
            if FIGURE.match(name) and is_number(value) and not plain:
                yield value.lineno, name


@then("no argument that is a time or a limit is given as a bare number")
def check_arguments(context):
    found = [
        f"{path.name}:{line}: {name}"
        for path, text in context.modules.items()
        for line, name in list_figures(text)
    ]
    assert not found, found
