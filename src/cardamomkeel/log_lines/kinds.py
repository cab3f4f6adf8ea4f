"""What one kind of line is."""

import dataclasses

INFO = "info"
WARNING = "warning"
ERROR = "error"
# How many lines a second of a kind that callers cause one process writes: a
# line takes 50 µs of its processor (docs/measures-platform.md).
MAX_LINES_PER_S = 20


@dataclasses.dataclass(frozen=True)
class Kind:
    """One kind of line.

    Attributes:
        message: Its words, by which lines are searched.
        level: How grave it is.
        fields: What it holds besides the fields that all lines have.
        meaning: What it says, and what to do about it.
        per_s: How many a second one process writes at most; None where what
            causes it is rare by itself.
    """

    message: str
    level: str
    fields: tuple[str, ...]
    meaning: str
    max_per_s: float | None = None
