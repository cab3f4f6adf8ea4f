"""Writes the page that lists all settings, from their models."""

import inspect
import re
import typing

import pydantic
import pydantic_core

from cardamomkeel.settings import process
from cardamomkeel.settings import services

INTRODUCTION = """# Settings

This page is made by `cardamomkeel settings-page`; don't edit it by hand.
All settings are JSON with comments. A setting without a default has to be
given. Unknown settings are refused.
"""

# The models in the order of the page, each with its heading.
SECTIONS: dict[str, type[pydantic.BaseModel]] = {
    "Settings text (`cardamomkeel apply`)": services.ServicesText,
    "`services.NAME` of the settings text": services.Service,
    "`measuring` of the settings text": services.Measuring,
    "`cardamomkeel-entry --settings`": process.EntrySettings,
    "`cardamomkeel-control --settings`": process.ControlSettings,
    "`timings` of both programs": process.Timings,
}
# Units by the end of a setting's name.
UNITS = {
    "_ms": "ms",
    "_bytes": "bytes",
    "bytes_per_second": "bytes/s",
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


def _render_section(heading: str, model: type[pydantic.BaseModel]) -> str:
    lines = [
        f"## {heading}",
        "",
        "| setting | unit | default | bounds | meaning |",
        "|---|---|---|---|---|",
    ]
    meanings = read_attributes(model)
    for name, field in model.model_fields.items():
        cells = [
            f"`{name}`",
            _get_unit(name),
            _get_default(field),
            _get_bounds(field),
            meanings.get(name, ""),
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
        begun = None if line.startswith(" ") else _ATTRIBUTE.match(line)
        if begun:
            name = begun.group(1)
            meanings[name] = begun.group(2)
        elif name:
            meanings[name] += " " + line.strip()
    return meanings


def _get_unit(name: str) -> str:
    for ending, unit in UNITS.items():
        if name.endswith(ending):
            return unit
    return ""


def _get_default(field: pydantic.fields.FieldInfo) -> str:
    default = field.default
    if default is pydantic_core.PydanticUndefined:
        return "none"
    if isinstance(default, pydantic.BaseModel):
        return "see below"
    if isinstance(default, tuple):
        return "`[]`"
    if isinstance(default, bool):
        return f"`{str(default).lower()}`"
    return f"`{default}`"


def _get_bounds(field: pydantic.fields.FieldInfo) -> str:
    bounds: list[str] = []
    for known in field.metadata:
        for name, words in BOUNDS.items():
            value: typing.Any = getattr(known, name, None)
            if value is not None:
                bounds.append(f"{words} {value}")
    return ", ".join(bounds)
