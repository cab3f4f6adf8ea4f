"""The `history` command of operators."""

import dataclasses
import datetime
import typing

import pydantic
from returns import result
import typer

from cardamomkeel.operators import commandline_options as options
from cardamomkeel.operators import fleet as fleet_lib
from cardamomkeel.operators import listings

COLUMNS = ("time", "index", "told_by", "subject", "message")
# Fits a screen.
DEFAULT_EVENTS = 50

About = typing.Annotated[
    str,
    typer.Option(
        help="Only events about this process, target, service or data "
        "centre, or that contain these words."
    ),
]
Last = typing.Annotated[
    int, typer.Option(help="Number of events to show, the newest.")
]


class _Event(pydantic.BaseModel):
    """One event of a process's answer."""

    age_ms: int
    subject: str
    message: str
    times: int
    index: int


class _History(pydantic.BaseModel):
    """The answer of one process."""

    name: str
    events: tuple[_Event, ...]


@dataclasses.dataclass(frozen=True)
class _ReportedEvent:
    """One event, with the name of the process that reported it."""

    name: str
    event: _Event


def history(
    at: options.At,
    secret_file: options.SecretFile,
    about: About = "",
    last: Last = DEFAULT_EVENTS,
) -> None:
    """Shows recent events of all processes, the oldest first."""
    secret = options.read_secret(secret_file)
    listed = fleet_lib.list_entries(at, secret)
    if not isinstance(listed, result.Success):
        options.fail(listed.failure())
    addresses = [*at, *(row.operators_address for row in listed.unwrap())]
    histories = fleet_lib.call_all(
        addresses, secret, "/v1/history", _History, {"about": about}
    )
    events = _merge([h for h in histories.values() if h is not None])
    rows = [_describe(event) for event in events[-last:]]
    print(listings.render(COLUMNS, rows) if rows else "no such events")
    for address, answer in histories.items():
        if answer is None:
            print(f"{address} did not answer; what it knows is missing")


def _merge(histories: list[_History]) -> list[_ReportedEvent]:
    """Returns all events, the oldest first, each replicated event once."""
    merged: list[_ReportedEvent] = []
    seen: set[tuple[int, str, str]] = set()
    for answer in sorted(histories, key=lambda h: len(h.events), reverse=True):
        for event in answer.events:
            key = (event.index, event.subject, event.message)
            if event.index and key in seen:
                continue
            seen.add(key)
            merged.append(_ReportedEvent(answer.name, event))
    return sorted(merged, key=lambda reported: -reported.event.age_ms)


def _describe(reported: _ReportedEvent) -> listings.Record:
    event = reported.event
    happened = datetime.datetime.now().astimezone() - datetime.timedelta(
        milliseconds=event.age_ms
    )
    times = f" ({event.times} times)" if event.times > 1 else ""
    return {
        "time": happened.isoformat(sep=" ", timespec="milliseconds"),
        "index": str(event.index or ""),
        "told_by": reported.name,
        "subject": event.subject or reported.name,
        "message": event.message + times,
    }
