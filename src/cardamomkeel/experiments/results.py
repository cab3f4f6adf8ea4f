"""The figures of an experiment, stored in a JSON file."""

import pathlib
import typing

import pydantic
from returns import result

from cardamomkeel import errors


class CallFigures(pydantic.BaseModel):
    """The calls of one service in one phase.

    Latencies are in milliseconds; `most_ms` is the highest one.
    """

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
    """The figures of one phase, from one change to the next."""

    name: str
    calls: list[CallFigures]


class ChangeFigures(pydantic.BaseModel):
    """The times until a change was accepted and in force."""

    name: str
    accepted_ms: float
    in_force_ms: float


class Figures(pydantic.BaseModel):
    """All figures of one run.

    Attributes:
        plan: The name of the plan.
        digest: The hash of the plan; only runs of one plan are comparable.
        started: The start time in ISO 8601.
        cores: The number of processor cores of the machine.
        load_before: The load average of the machine before the run.
        late_p99_ms: The 99th percentile of the delays in sending calls; a
            large value means that the tool was short of processor time.
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
