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
class DuplicateKey:
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
class _OpenContainer:
    """An object or a list that is open.

    Attributes:
        lines: The line of each name so far; None in a list.
        name: The newest name.
    """

    lines: dict[str, int] | None
    name: str = ""


def find(text: str) -> DuplicateKey | None:
    """Returns the first name that an object of a text holds twice."""
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
