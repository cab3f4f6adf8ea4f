"""Formats entries and targets as tables for operators."""

import collections.abc
import typing

Record = dict[str, typing.Any]

# Columns of the tables; each shows the field of its name.
ENTRY_COLUMNS = ("name", "data_centre", "callers_address", "state")
TARGET_COLUMNS = ("service", "address", "data_centre", "state", "owner", "out")


def list_entries(show: Record) -> list[Record]:
    """Returns the rows of the table of entries from an answer to `show`."""
    out_of_service = _list_out_of_service(show)
    return [
        {
            "name": entry["name"],
            "data_centre": entry["data_centre"],
            "callers_address": entry["callers_address"],
            "state": _describe_entry(entry, out_of_service),
        }
        for entry in _rows(show, "entry")
    ]


def _describe_entry(entry: Record, out_of_service: set[str]) -> str:
    if entry.get("leaving"):
        return "leaving"
    return "out" if entry["data_centre"] in out_of_service else "serves"


def list_targets(show: Record) -> list[Record]:
    """Returns the rows of the table of targets from an answer to `show`."""
    out_of_service = _list_out_of_service(show)
    names = {row["session"]: row["name"] for row in _rows(show, "entry")}
    return [
        {
            "service": target["service"],
            "address": target["address"],
            "data_centre": target["data_centre"],
            "state": target["state"],
            "owner": names.get(target.get("owner"), "none"),
            "out": "out"
            if {target["address"], target["data_centre"]} & out_of_service
            else "",
        }
        for target in _rows(show, "target")
    ]


def _rows(show: Record, kind: str) -> list[Record]:
    return [r[kind] for r in show.get("records", []) if kind in r]


def _list_out_of_service(show: Record) -> set[str]:
    """Returns the data centres and addresses that are out of service."""
    return {
        out.get("address") or out.get("data_centre", "")
        for out in _rows(show, "out")
    }


def sort(
    columns: collections.abc.Sequence[str], rows: list[Record]
) -> list[Record]:
    """Returns rows sorted by the columns from left to right."""
    return sorted(rows, key=lambda row: [row[name] for name in columns])


def render(columns: collections.abc.Sequence[str], rows: list[Record]) -> str:
    """Returns rows as a text table, in the order given."""
    lines = [tuple(columns)]
    lines += [tuple(row[name] for name in columns) for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
