"""Compares the figures of two runs of one plan."""

import typing

from returns import result

from cardamomkeel import errors
from cardamomkeel.experiments import results

COMPARED_FIGURES = (
    "answered",
    "not_run",
    "unknown",
    "p50_ms",
    "p99_ms",
    "p999_ms",
)
COLUMNS = ("phase", "service", "figure", "before", "after", "ratio")

Row = dict[str, typing.Any]


def compare(
    before: results.Figures, after: results.Figures
) -> result.Result[list[Row], errors.Error]:
    """Returns a table row for each figure that both runs have.

    Fails if the runs are of different plans.
    """
    if before.digest != after.digest:
        return result.Failure(
            errors.SettingsError(
                f"the runs are of two plans: {before.plan} ({before.digest}) "
                f"and {after.plan} ({after.digest})",
                "run one plan twice and compare these",
            )
        )
    rows_before = {_key(row): row for row in results.list_rows(before)}
    return result.Success(
        [
            _compare_figure(rows_before[_key(row)], row, figure)
            for row in results.list_rows(after)
            if _key(row) in rows_before
            for figure in COMPARED_FIGURES
        ]
    )


def _key(row: Row) -> tuple[str, str]:
    return row["phase"], row["service"]


def _compare_figure(before: Row, after: Row, figure: str) -> Row:
    ratio = after[figure] / before[figure] if before[figure] else None
    return {
        "phase": after["phase"],
        "service": after["service"],
        "figure": figure,
        "before": f"{before[figure]:g}",
        "after": f"{after[figure]:g}",
        "ratio": "" if ratio is None else f"{ratio:.2f}",
    }
