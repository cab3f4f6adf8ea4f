"""Finds names that a text of JSON with comments holds twice.

Libraries keep the last of them silently, so an operator would lose the other.
"""

import collections.abc
import dataclasses
import re

# Comments and strings of both kinds, names without quotes, and what nests.
_TOKEN = re.compile(
    r"""(?P<comment>//[^\n]*|/\*.*?\*/)"""
    r"""|(?P<name>"(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*'|[A-Za-z_$][\w$]*)"""
    r"""|(?P<sign>[{}\[\]:,])""",
    re.DOTALL,
)


@dataclasses.dataclass(frozen=True)
class Repeat:
    """A name that stands twice in one object.

    Attributes:
        path: The names that lead to it.
        first_line: The line of the first, from 1.
        second_line: The line of the second.
    """

    path: str
    first_line: int
    second_line: int


@dataclasses.dataclass
class _Level:
    """An object or a list that is open.

    Attributes:
        lines: The line of each name so far; None in a list.
        name: The newest name.
    """

    lines: dict[str, int] | None
    name: str = ""


def find(text: str) -> Repeat | None:
    """Returns the first name that an object of a text holds twice."""
    levels: list[_Level] = []
    last = ""
    for kind, token, line in _tokens(text):
        if kind == "name":
            last = token
        elif token in "{[":
            levels.append(_Level({} if token == "{" else None))
        elif token in "}]":
            if levels:
                levels.pop()
        elif token == ":" and levels and levels[-1].lines is not None:
            level = levels[-1]
            level.name = last
            if last in level.lines:
                path = ".".join(level.name for level in levels if level.name)
                return Repeat(path, level.lines[last], line)
            level.lines[last] = line
    return None


def _tokens(
    text: str,
) -> collections.abc.Iterator[tuple[str, str, int]]:
    """Yields the kind, the text without quotes and the line of each token."""
    line = 1
    counted = 0
    for found in _TOKEN.finditer(text):
        line += text.count("\n", counted, found.start())
        counted = found.start()
        kind = found.lastgroup or ""
        if kind != "comment":
            token = found.group()
            yield kind, token.strip("\"'") if kind == "name" else token, line
