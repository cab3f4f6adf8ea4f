"""What an experiment showed, as a file of JSON."""

import pathlib
import typing

import pydantic
from returns import result

from cardamomkeel import errors


class CallFigures(pydantic.BaseModel):
    """The calls of one service in one phase; times in milliseconds."""

    service: str
    sent: int
    answered: int
    not_run: int
    unknown: int
    repeats: int
    p50_ms: float
    p99_ms: float
    p999_ms: float
    most_ms: float


class PhaseFigures(pydantic.BaseModel):
    """One phase: from one change to the next."""

    name: str
    calls: list[CallFigures]


class ChangeFigures(pydantic.BaseModel):
    """How long one change of an operator took, in milliseconds."""

    name: str
    accepted_ms: float
    in_force_ms: float


class Figures(pydantic.BaseModel):
    """All figures of one run.

    Attributes:
        plan: The name of the plan.
        digest: Its hash; only runs of one plan compare.
        started: When it started, in ISO 8601.
        cores: How many cores the machine has.
        load_before: Its load average before the run.
        late_p99_ms: How late calls were sent; a large figure means that the
            tool itself was short of processor time.
        phases: The phases in order.
        changes: The changes in order.
    """

    plan: str
    digest: str
    started: str
    cores: int
    load_before: float
    late_p99_ms: float
    phases: list[PhaseFigures]
    changes: list[ChangeFigures] = []


def write(path: pathlib.Path, figures: Figures) -> None:
    """Writes figures to a file."""
    path.write_text(figures.model_dump_json(indent=2), encoding="utf-8")


def read(path: pathlib.Path) -> result.Result[Figures, errors.Error]:
    """Reads figures from a file."""
    try:
        return result.Success(Figures.model_validate_json(path.read_bytes()))
    except (OSError, pydantic.ValidationError) as exc:
        return result.Failure(
            errors.SettingsError(
                f"{path} holds no figures: {exc}",
                "name a file that `cardamomkeel-load run --result` wrote",
            )
        )


def list_rows(figures: Figures) -> list[dict[str, typing.Any]]:
    """Returns the calls of all phases as rows of a table."""
    return [
        {"phase": phase.name} | calls.model_dump()
        for phase in figures.phases
        for calls in phase.calls
    ]
