"""The description of one kind of log line."""

import dataclasses

INFO = "info"
WARNING = "warning"
ERROR = "error"
# The rate limit per process and kind for lines that callers cause. Writing a
# line takes 50 µs of processor time (docs/measures-platform.md).
MAX_LINES_PER_S = 20


@dataclasses.dataclass(frozen=True)
class Kind:
    """A kind of log line.

    Attributes:
        message: The message, which identifies the kind.
        level: The log level.
        fields: The fields besides those that all lines have.
        meaning: What happened, and what the reader can do about it.
        max_per_s: How many lines of this kind a process writes per second at
            most; None for kinds that are rare by themselves.
    """

    message: str
    level: str
    fields: tuple[str, ...]
    meaning: str
    max_per_s: float | None = None
