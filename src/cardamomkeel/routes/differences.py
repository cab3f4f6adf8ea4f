"""Lists what differs between two versions of the routes."""

import dataclasses
import enum
import typing

import msgspec

from cardamomkeel.routes import document as document_lib

Items = dict[str, msgspec.Struct]


class Kind(enum.Enum):
    """How an item differs."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclasses.dataclass(frozen=True, slots=True)
class Difference:
    """One item that differs.

    Attributes:
        kind: How it differs.
        item: What it is, such as `route desk.example/look/`.
        fields: The values of each changed field, before and after.
    """

    kind: Kind
    item: str
    fields: dict[str, tuple[typing.Any, typing.Any]] = dataclasses.field(
        default_factory=dict
    )


def find(
    before: document_lib.RoutesDocument, after: document_lib.RoutesDocument
) -> list[Difference]:
    """Returns what differs; the order of routes and accounts doesn't count.

    Args:
        before: The routes in force.
        after: The routes that are to replace them.
    """
    old, new = _list_items(before), _list_items(after)
    removed = [
        Difference(Kind.REMOVED, name) for name in old if name not in new
    ]
    added = [Difference(Kind.ADDED, name) for name in new if name not in old]
    changed = [
        Difference(Kind.CHANGED, name, _compare(old[name], item))
        for name, item in new.items()
        if name in old and old[name] != item
    ]
    return removed + added + changed


def _list_items(document: document_lib.RoutesDocument) -> Items:
    items: Items = {
        f"route {route.host.lower()}{route.prefix}": route
        for route in document.routes
    }
    for name, service in document.services.items():
        items[f"service {name}"] = service
    for account in document.accounts or ():
        items[f"account {account.name}"] = account
    items["limits"] = document.limits
    return items


def _compare(
    old: msgspec.Struct, new: msgspec.Struct
) -> dict[str, tuple[typing.Any, typing.Any]]:
    before, after = msgspec.to_builtins(old), msgspec.to_builtins(new)
    return {
        name: (before[name], after[name])
        for name in after
        if before[name] != after[name]
    }
