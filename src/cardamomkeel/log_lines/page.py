"""Writes the page that lists all kinds of lines, from their table."""

from cardamomkeel.log_lines import former_messages
from cardamomkeel.log_lines import kinds
from cardamomkeel.log_lines import registry

INTRODUCTION = """# Log lines

This page is made by `cardamomkeel log-page`; don't edit it by hand. Every
process writes JSON objects, one a line, to standard error. Lines of a kind
with a bound are all written up to so many a second; a line `dropped lines`
then counts what was left out. A reader that stops reading costs lines, and
holds up nothing else. `OPERATIONS.md` tells how to find a cause with them.
"""


def render() -> str:
    """Returns the whole page."""
    parts = [INTRODUCTION]
    parts += [_render_section(*part) for part in registry.SECTIONS.items()]
    parts.append(_render_fields("All lines", registry.COMMON_FIELDS))
    parts.append(_render_fields("Fields", registry.FIELDS))
    parts.append(_render_renamed(former_messages.RENAMED))
    return "\n".join(parts)


def _render_section(heading: str, listed: tuple[kinds.Kind, ...]) -> str:
    lines = [
        f"## {heading}",
        "",
        "| message | level | fields | most a second | meaning |",
        "|---|---|---|---|---|",
    ]
    for kind in listed:
        fields = ", ".join(f"`{field}`" for field in kind.fields)
        max_per_s = "" if kind.max_per_s is None else f"{kind.max_per_s:g}"
        cells = [
            f"`{kind.message}`",
            kind.level,
            fields,
            max_per_s,
            kind.meaning,
        ]
        lines.append(f"| {' | '.join(cells)} |")
    return "\n".join(lines) + "\n"


def _render_fields(heading: str, fields: dict[str, str]) -> str:
    lines = [f"## {heading}", "", "| field | holds |", "|---|---|"]
    lines += [
        f"| `{name}` | {description} |" for name, description in fields.items()
    ]
    return "\n".join(lines) + "\n"


def _render_renamed(renamed: dict[str, str]) -> str:
    lines = ["## Renamed messages", "", "| before | now |", "|---|---|"]
    lines += [f"| `{old}` | `{new}` |" for old, new in sorted(renamed.items())]
    return "\n".join(lines) + "\n"
