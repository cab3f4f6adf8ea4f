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
# What fits a screen.
DEFAULT_EVENTS = 50

About = typing.Annotated[
    str,
    typer.Option(
        help="Only events about this process, target, service, data centre, "
        "or with these words."
    ),
]
Last = typing.Annotated[int, typer.Option(help="How many events to show.")]


class _Event(pydantic.BaseModel):
    """One event, as a process tells it."""

    age_ms: int
    subject: str
    message: str
    times: int
    index: int


class _History(pydantic.BaseModel):
    """What one process tells."""

    name: str
    events: tuple[_Event, ...]


@dataclasses.dataclass(frozen=True)
class _ReportedEvent:
    """One event, with who told it."""

    name: str
    event: _Event


def history(
    at: options.At,
    secret_file: options.SecretFile,
    about: About = "",
    last: Last = DEFAULT_EVENTS,
) -> None:
    """Tells what happened lately in all processes, in order."""
    secret = options.read_secret(secret_file)
    listed = fleet_lib.list_entries(at, secret)
    if not isinstance(listed, result.Success):
        options.fail(listed.failure())
    addresses = [*at, *(row.operators_address for row in listed.unwrap())]
    told = fleet_lib.call_all(
        addresses, secret, "/v1/history", _History, {"about": about}
    )
    lines = _merge([one for one in told.values() if one is not None])
    rows = [_describe(line) for line in lines[-last:]]
    print(listings.render(COLUMNS, rows) if rows else "no such events")
    for address, one in told.items():
        if one is None:
            print(f"{address} did not answer; what it knows is missing")


def _merge(histories: list[_History]) -> list[_ReportedEvent]:
    """Returns all events, the oldest first, replicated ones once."""
    lines: list[_ReportedEvent] = []
    seen: set[tuple[int, str, str]] = set()
    for one in sorted(histories, key=lambda h: len(h.events), reverse=True):
        for event in one.events:
            key = (event.index, event.subject, event.message)
            if event.index and key in seen:
                continue
            seen.add(key)
            lines.append(_ReportedEvent(one.name, event))
    return sorted(lines, key=lambda line: -line.event.age_ms)


def _describe(line: _ReportedEvent) -> listings.Record:
    event = line.event
    happened = datetime.datetime.now().astimezone() - datetime.timedelta(
        milliseconds=event.age_ms
    )
    times = f" ({event.times} times)" if event.times > 1 else ""
    return {
        "time": happened.isoformat(sep=" ", timespec="milliseconds"),
        "index": str(event.index or ""),
        "told_by": line.name,
        "subject": event.subject or line.name,
        "message": event.message + times,
    }
