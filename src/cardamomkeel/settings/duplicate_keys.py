"""Finds duplicate keys in JSON with comments.

Parsers silently keep only the last value of a duplicate key, so an operator
would lose the other.
"""

import collections.abc
import dataclasses
import re

# Comments, strings with either quote, names without quotes, and punctuation.
_TOKEN = re.compile(
    r"""(?P<comment>//[^\n]*|/\*.*?\*/)"""
    r"""|(?P<name>"(?:[^"\\]|\\.)*"|'(?:[^'\\]|\\.)*'|[A-Za-z_$][\w$]*)"""
    r"""|(?P<sign>[{}\[\]:,])""",
    re.DOTALL,
)


@dataclasses.dataclass(frozen=True)
class DuplicateKey:
    """A key that occurs twice in one object.

    Attributes:
        path: The keys from the root to the duplicate, joined by dots.
        first_line: The line of the first occurrence, counted from 1.
        second_line: The line of the second occurrence.
    """

    path: str
    first_line: int
    second_line: int


@dataclasses.dataclass
class _OpenContainer:
    """An object or a list whose end has not been read.

    Attributes:
        lines: The line of each key of the object so far; None for a list.
        name: The last key that was read.
    """

    lines: dict[str, int] | None
    name: str = ""


def find(text: str) -> DuplicateKey | None:
    """Returns the first duplicate key of a text, or None."""
    containers: list[_OpenContainer] = []
    last = ""
    for kind, token, line in _tokens(text):
        if kind == "name":
            last = token
        elif token in "{[":
            containers.append(_OpenContainer({} if token == "{" else None))
        elif token in "}]":
            if containers:
                containers.pop()
        elif token == ":" and containers and containers[-1].lines is not None:
            container = containers[-1]
            container.name = last
            if last in container.lines:
                path = ".".join(
                    container.name for container in containers if container.name
                )
                return DuplicateKey(path, container.lines[last], line)
            container.lines[last] = line
    return None


def _tokens(
    text: str,
) -> collections.abc.Iterator[tuple[str, str, int]]:
    """Yields the kind, the text without quotes and the line of each token."""
    line = 1
    counted_to = 0
    for found in _TOKEN.finditer(text):
        line += text.count("\n", counted_to, found.start())
        counted_to = found.start()
        kind = found.lastgroup or ""
        if kind != "comment":
            token = found.group()
            yield kind, token.strip("\"'") if kind == "name" else token, line
