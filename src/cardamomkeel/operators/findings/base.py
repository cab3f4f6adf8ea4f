"""What a check finds, and what every check provides."""

import collections.abc
import dataclasses
import enum
import typing

from cardamomkeel.operators import fleet as fleet_lib


class Level(enum.Enum):
    """How much a finding matters.

    ACT: A promise is at stake, or only an operator can end it.
    WARN: The next failure would be felt.
    NOTE: Worth knowing; it ends by itself or was wanted.
    """

    ACT = "act"
    WARN = "warn"
    NOTE = "note"


@dataclasses.dataclass(frozen=True)
class Finding:
    """One thing that operators should know.

    Attributes:
        level: How much it matters.
        subject: The process, service or target that it is about.
        message: What was found.
        remedy: What the reader can do about it.
    """

    level: Level
    subject: str
    message: str
    remedy: str


class Check(typing.Protocol):
    """Looks at a fleet for one kind of finding."""

    def __call__(
        self, fleet: fleet_lib.Fleet
    ) -> collections.abc.Iterator[Finding]:
        """Yields what it finds."""
        ...
