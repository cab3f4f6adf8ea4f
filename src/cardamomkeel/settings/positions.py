"""Finds where the values of JSON with comments stand in its text."""

import collections.abc
import dataclasses
import re

from cardamomkeel.settings import edit

# The names and indexes that lead from the whole text to a value.
Path = tuple[str | int, ...]

_TOKEN = re.compile(
    rf"{edit.COMMENT}|({edit.STRING}|[{{}}\[\]:,]|[^\s{{}}\[\]:,\"'/]++)",
    re.DOTALL,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Position:
    """A place in a text; both numbers count from 1."""

    line: int
    column: int


@dataclasses.dataclass(slots=True)
class _Container:
    """An object or a list whose end has not been read.

    Attributes:
        in_list: Whether it is a list.
        key: The name or index of the value that comes next.
    """

    in_list: bool
    key: str | int


def find(
    text: str, paths: collections.abc.Collection[Path]
) -> dict[Path, Position]:
    """Returns the positions of values; those that are missing are left out.

    Args:
        text: Well-formed JSON with comments.
        paths: The values to find.
    """
    wanted = set(paths)
    found: dict[Path, Position] = {}
    open_containers: list[_Container] = []
    expects_value = True
    for match in _TOKEN.finditer(text):
        token = match[1]
        if token is None or len(found) == len(wanted):
            continue
        container = open_containers[-1] if open_containers else None
        if token in ("}", "]"):
            open_containers.pop()
            expects_value = False
        elif token == ",":
            if container.in_list:
                container.key += 1
            expects_value = container.in_list
        elif token == ":":
            expects_value = True
        elif not expects_value:
            container.key = token.strip("\"'")
        else:
            path = tuple(opened.key for opened in open_containers)
            if path in wanted:
                found[path] = _locate(text, match.start(1))
            if token in ("{", "["):
                in_list = token == "["
                open_containers.append(
                    _Container(in_list, 0 if in_list else "")
                )
            expects_value = token == "["
    return found


def _locate(text: str, offset: int) -> Position:
    line = text.count("\n", 0, offset) + 1
    return Position(line, offset - text.rfind("\n", 0, offset))
