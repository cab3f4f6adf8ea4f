"""The report of a check of routes, as text for people or JSON for programs."""

import collections.abc
import dataclasses
import json
import re
import typing

from cardamomkeel import errors
from cardamomkeel.routes import differences as differences_lib
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import findings as findings_lib
from cardamomkeel.settings import positions

# Exit statuses of a check.
EXIT_CLEAN = 0
EXIT_INVALID = 1
EXIT_FINDINGS = 2

# The place that an error of a validated struct names, as `$.routes[0].host`.
_ERROR_PLACE = re.compile(r"`\$((?:\.\w+|\[\d+\])+)`")
_STEP = re.compile(r"\.(\w+)|\[(\d+)\]")

# Returns the path of a value in the checked text, from that in the document.
PathMapper = collections.abc.Callable[[positions.Path], positions.Path]


@dataclasses.dataclass
class Report:
    """What a check of routes has found.

    Attributes:
        source: The checked file.
        text: Its content.
        error: Why the routes are invalid; None if they are valid.
        findings: What needs attention in valid routes.
        differences: What differs from the routes in force; None if they were
            not compared.
        to_text_path: Maps paths in the document to paths in the text.
    """

    source: str
    text: str
    error: errors.Error | None = None
    findings: list[findings_lib.Finding] = dataclasses.field(
        default_factory=list
    )
    differences: list[differences_lib.Difference] | None = None
    to_text_path: PathMapper = tuple

    @property
    def status(self) -> int:
        """The exit status of the check."""
        if self.error is not None:
            return EXIT_INVALID
        return EXIT_FINDINGS if self.findings else EXIT_CLEAN

    def render(self) -> str:
        """Returns the report for people."""
        lines = []
        for row in self._list_rows():
            place = f"{self.source}:{row['line']}:{row['column']}"
            if row["line"] is None:
                place = self.source
            lines.append(f"{place}: {row['level']}: {row['message']}")
            lines.append(f"  remedy: {row['remedy']}")
        if not lines:
            lines.append(f"{self.source} is well-formed")
        for difference in self.differences or ():
            lines.append(f"{difference.kind.value}: {difference.item}")
            for name, (old, new) in difference.fields.items():
                values = f"{json.dumps(old)} -> {json.dumps(new)}"
                lines.append(f"  {name}: {values}")
        if self.differences == []:
            lines.append("nothing differs from the routes in force")
        return "\n".join(lines)

    def render_json(self) -> str:
        """Returns the report for programs."""
        content: dict[str, typing.Any] = {
            "source": self.source,
            "findings": self._list_rows(),
        }
        if self.differences is not None:
            content["differences"] = [
                {
                    "kind": difference.kind.value,
                    "item": difference.item,
                    "fields": difference.fields,
                }
                for difference in self.differences
            ]
        return json.dumps(content, indent=2)

    def _list_rows(self) -> list[dict[str, typing.Any]]:
        rows = []
        if self.error is not None:
            path = _read_place(self.error.message)
            rows.append(("error", path, self.error.message, self.error.remedy))
        for finding in self.findings:
            path = self.to_text_path(finding.path)
            rows.append(("warning", path, finding.message, finding.remedy))
        found = positions.find(
            self.text,
            {path[:end] for _, path, *_ in rows for end in _ends(path)},
        )
        return [
            {
                "level": level,
                "message": message,
                "remedy": remedy,
                **_describe_position(path, found),
            }
            for level, path, message, remedy in rows
        ]


def check(
    report: Report,
    document: document_lib.RoutesDocument,
    in_force: document_lib.RoutesDocument | None,
) -> Report:
    """Adds what is found in valid routes to a report, and returns it.

    Args:
        report: The report of their file.
        document: The routes.
        in_force: The routes to compare them with; None for no comparison.
    """
    report.findings = findings_lib.find(document)
    if in_force is not None:
        report.differences = differences_lib.find(in_force, document)
    return report


def _ends(path: positions.Path) -> range:
    return range(1, len(path) + 1)


def _describe_position(
    path: positions.Path, found: dict[positions.Path, positions.Position]
) -> dict[str, int | None]:
    """Returns the position of a value, or of the innermost that holds it."""
    for end in reversed(_ends(path)):
        position = found.get(path[:end])
        if position is not None:
            return {"line": position.line, "column": position.column}
    return {"line": None, "column": None}


def _read_place(message: str) -> positions.Path:
    """Returns the path that an error message names; empty if it names none."""
    place = _ERROR_PLACE.search(message)
    if place is None:
        return ()
    return tuple(step[1] or int(step[2]) for step in _STEP.finditer(place[1]))
