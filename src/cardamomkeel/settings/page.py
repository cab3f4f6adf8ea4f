"""Writes the page that lists all settings, from their models."""

import inspect
import re
import typing

import msgspec
import pydantic
import pydantic_core

from cardamomkeel.routes import document
from cardamomkeel.settings import process
from cardamomkeel.settings import services

INTRODUCTION = """# Settings

This page is made by `cardamomkeel settings-page`; don't edit it by hand.
All settings are JSON with comments. A setting without a default has to be
given. Unknown settings are refused.
"""

# The models in the order of the page, each with its heading.
SECTIONS: dict[str, type[pydantic.BaseModel | msgspec.Struct]] = {
    "Settings text (`cardamomkeel apply`)": services.ServicesText,
    "`services.NAME` of the settings text": services.Service,
    "`measuring` of the settings text": services.Measuring,
    "Routes (`cardamomkeel routes apply`)": document.RoutesDocument,
    "`routes` of the routes": document.Route,
    "`parts` of a route": document.Part,
    "`services.NAME` of the routes": document.RoutedService,
    "`limits` of the routes": document.CallerLimits,
    "`cardamomkeel-gateway --settings`": process.GatewaySettings,
    "`cardamomkeel-entry --settings`": process.EntrySettings,
    "`cardamomkeel-control --settings`": process.ControlSettings,
    "`timings` of all programs": process.Timings,
}
# Units by the end of a setting's name.
UNITS = {
    "_ms": "ms",
    "_bytes": "bytes",
    "bytes_per_second": "bytes/s",
    "_per_s": "requests/s",
    "messages_per_second": "messages/s",
    "slots": "requests",
    "queue": "requests",
    "_share": "share",
}
BOUNDS = {"ge": "at least", "gt": "more than", "le": "at most"}
_ATTRIBUTE = re.compile(r"^(\w+): (.*)$")


def render() -> str:
    """Returns the whole page."""
    parts = [INTRODUCTION]
    for heading, model in SECTIONS.items():
        parts.append(_render_section(heading, model))
    return "\n".join(parts)


class _Setting(typing.NamedTuple):
    """One setting of either kind of model."""

    name: str
    default: typing.Any
    bounds: list[typing.Any]


# In place of a default, where a setting has to be given.
_REQUIRED = object()


def _list_settings(model: type) -> list[_Setting]:
    if issubclass(model, msgspec.Struct):
        return [_read_field(field) for field in msgspec.structs.fields(model)]
    return [
        _Setting(
            name,
            _REQUIRED
            if field.default is pydantic_core.PydanticUndefined
            else field.default,
            list(field.metadata),
        )
        for name, field in model.model_fields.items()
    ]


def _read_field(field: msgspec.structs.FieldInfo) -> _Setting:
    default = field.default
    if default is msgspec.NODEFAULT:
        default = _REQUIRED
    bounds = list(getattr(field.type, "__metadata__", ()))
    return _Setting(field.encode_name, default, bounds)


def _render_section(heading: str, model: type) -> str:
    lines = [
        f"## {heading}",
        "",
        "| setting | unit | default | bounds | meaning |",
        "|---|---|---|---|---|",
    ]
    meanings = read_attributes(model)
    for setting in _list_settings(model):
        cells = [
            f"`{setting.name}`",
            _get_unit(setting.name),
            _get_default(setting.default),
            _get_bounds(setting.bounds),
            meanings.get(setting.name, ""),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines) + "\n"


def read_attributes(model: type) -> dict[str, str]:
    """Returns what a model's doc comment says of each attribute."""
    doc = inspect.getdoc(model) or ""
    _, _, listed = doc.partition("Attributes:\n")
    meanings: dict[str, str] = {}
    name = ""
    for line in inspect.cleandoc(listed).splitlines():
        match = None if line.startswith(" ") else _ATTRIBUTE.match(line)
        if match:
            name = match.group(1)
            meanings[name] = match.group(2)
        elif name:
            meanings[name] += " " + line.strip()
    return meanings


def _get_unit(name: str) -> str:
    for suffix, unit in UNITS.items():
        if name.endswith(suffix):
            return unit
    return ""


def _get_default(default: typing.Any) -> str:
    if default is _REQUIRED:
        return "none"
    if isinstance(default, (pydantic.BaseModel, msgspec.Struct)):
        return "see below"
    if isinstance(default, tuple):
        return "`[]`"
    if isinstance(default, bool):
        return f"`{str(default).lower()}`"
    if default is None or default == "":
        return "left out"
    return f"`{default}`"


def _get_bounds(metadata: list[typing.Any]) -> str:
    bounds: list[str] = []
    for constraint in metadata:
        for name, words in BOUNDS.items():
            value: typing.Any = getattr(constraint, name, None)
            if value is not None:
                bounds.append(f"{words} {value}")
    return ", ".join(bounds)
