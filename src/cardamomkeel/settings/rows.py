"""Converts the settings text to one row per service, and compares texts."""

import collections.abc
import dataclasses
import hashlib
import json
import typing

from returns import result

from cardamomkeel import errors
from cardamomkeel.settings import reader
from cardamomkeel.settings import services as services_lib
from cardamomkeel.wire import control_pb2

SERVICES = "services"
MEASURING = "measuring"
DEPENDS_ON = "depends_on"


@dataclasses.dataclass(frozen=True)
class Parsed:
    """A valid settings text and its content.

    Attributes:
        text: The text.
        services: The settings of each service, as given in the text.
        measuring: The settings of measuring as JSON; empty if not given.
        longest_ms: The longest deadline of each service.
    """

    text: str = ""
    services: dict[str, typing.Any] = dataclasses.field(default_factory=dict)
    measuring: str = ""
    longest_ms: dict[str, int] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Difference:
    """The rows of a text that differ from those of another.

    Attributes:
        changed: Rows of services that are new or have other settings.
        removed: Services that are no longer listed.
        measuring: The settings of measuring in the new text, as JSON.
    """

    changed: list[control_pb2.ServiceSettings]
    removed: list[str]
    measuring: str


def hash_text(text: str) -> bytes:
    """Returns the hash that identifies a settings text."""
    return hashlib.sha256(text.encode()).digest()


def parse(text: str, source: str) -> result.Result[Parsed, errors.Error]:
    """Parses and validates a complete settings text."""
    raw = reader.read_raw(text, source)
    if not isinstance(raw, result.Success):
        return raw
    return _check(text, raw.unwrap(), source)


def parse_next(
    base: Parsed, text: str, source: str
) -> result.Result[Parsed, errors.Error]:
    """Parses and validates a text, given the valid text before it.

    Services whose settings did not change are not validated again.
    """
    raw = reader.read_raw(text, source)
    if not isinstance(raw, result.Success):
        return raw
    changed = _read_changed(base, raw.unwrap())
    if changed is None:
        return _check(text, raw.unwrap(), source)
    return result.Success(
        dataclasses.replace(
            base,
            text=text,
            services=base.services | changed.raw,
            longest_ms=base.longest_ms | changed.longest_ms,
        )
    )


@dataclasses.dataclass(frozen=True)
class _ChangedServices:
    """Valid services whose settings differ from the text before."""

    raw: dict[str, typing.Any]
    longest_ms: dict[str, int]


def _read_changed(base: Parsed, raw: typing.Any) -> _ChangedServices | None:
    """Returns the changed services, or None if all has to be validated."""
    if not isinstance(raw, dict) or raw.keys() != _list_keys(base):
        return None
    listed = raw.get(SERVICES)
    if not isinstance(listed, dict) or list(listed) != list(base.services):
        return None
    if MEASURING in raw and _to_json(raw[MEASURING]) != base.measuring:
        return None
    changed = {
        name: service
        for name, service in listed.items()
        if service != base.services[name]
    }
    longest_ms = {}
    for name, service in changed.items():
        checked = reader.validate(service, services_lib.Service, name)
        before = base.services[name].get(DEPENDS_ON)
        if (
            not isinstance(checked, result.Success)
            or service.get(DEPENDS_ON) != before
        ):
            return None
        longest_ms[name] = checked.unwrap().longest_deadline_ms
    return _ChangedServices(changed, longest_ms)


def _list_keys(parsed: Parsed) -> set[str]:
    return {SERVICES, MEASURING} if parsed.measuring else {SERVICES}


def _check(
    text: str, raw: typing.Any, source: str
) -> result.Result[Parsed, errors.Error]:
    checked = reader.validate(raw, services_lib.ServicesText, source)
    return checked.map(lambda model: _make_parsed(text, raw, model))


def _make_parsed(
    text: str, raw: typing.Any, model: services_lib.ServicesText
) -> Parsed:
    measuring = raw.get(MEASURING)
    return Parsed(
        text,
        raw[SERVICES],
        "" if measuring is None else _to_json(measuring),
        {
            name: service.longest_deadline_ms
            for name, service in model.services.items()
        },
    )


def _to_json(raw: typing.Any) -> str:
    return json.dumps(raw, sort_keys=True, separators=(",", ":"))


def compare(base: Parsed, new: Parsed) -> Difference:
    """Returns the rows that a new text changes."""
    return Difference(
        make_rows(new, _find_changed(base, new)),
        [name for name in base.services if name not in new.services],
        new.measuring,
    )


def _find_changed(base: Parsed, new: Parsed) -> collections.abc.Iterable[str]:
    for name, raw in new.services.items():
        if name not in base.services or raw != base.services[name]:
            yield name


def make_rows(
    parsed: Parsed, names: collections.abc.Iterable[str]
) -> list[control_pb2.ServiceSettings]:
    """Returns the rows of some services of a text."""
    return [
        control_pb2.ServiceSettings(
            name=name,
            body=_to_json(parsed.services[name]),
            longest_deadline_ms=parsed.longest_ms[name],
        )
        for name in names
    ]


def make_splice(base: str, new: str) -> control_pb2.TextSplice:
    """Returns the splice that turns the base text into the new one."""
    start = _count_common(base, new)
    rest = _count_common(base[start:][::-1], new[start:][::-1])
    return control_pb2.TextSplice(
        offset=start,
        removed=len(base) - start - rest,
        inserted=new[start : len(new) - rest],
    )


def apply_splice(base: str, splice: control_pb2.TextSplice) -> str:
    """Returns the base text with a splice applied."""
    end = splice.offset + splice.removed
    return base[: splice.offset] + splice.inserted + base[end:]


def _count_common(first: str, second: str) -> int:
    """Returns the length of the common prefix of two texts."""
    low, high = 0, min(len(first), len(second))
    while low < high:
        middle = (low + high + 1) // 2
        if first[low:middle] == second[low:middle]:
            low = middle
        else:
            high = middle - 1
    return low
