"""The findings of checks, and the interface of a check."""

import collections.abc
import dataclasses
import enum
import typing

from cardamomkeel.operators import fleet as fleet_lib


class Level(enum.Enum):
    """How urgent a finding is.

    ACT: A guarantee is at risk, or only an operator can resolve it.
    WARN: The next failure would affect callers.
    NOTE: Needs no action; it resolves itself or was intended.
    """

    ACT = "act"
    WARN = "warn"
    NOTE = "note"


@dataclasses.dataclass(frozen=True)
class Finding:
    """One condition that a check reports to operators.

    Attributes:
        level: How urgent it is.
        subject: The process, service, target or data centre concerned.
        message: Describes the condition.
        remedy: What the operator can do about it.
    """

    level: Level
    subject: str
    message: str
    remedy: str


class Check(typing.Protocol):
    """Checks a fleet for one kind of condition."""

    def __call__(
        self, fleet: fleet_lib.Fleet
    ) -> collections.abc.Iterator[Finding]:
        """Yields the findings."""
        ...
