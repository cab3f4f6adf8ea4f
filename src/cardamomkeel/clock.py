"""The one clock of the system, in milliseconds."""

import time
import typing

Millis = float

# Libraries count in seconds.
MS_PER_SECOND = 1000.0


class Clock(typing.Protocol):
    """Tells a time that never goes back."""

    def now(self) -> Millis:
        """Returns milliseconds since an arbitrary start."""
        ...


class MonotonicClock:
    """Reads the monotonic clock of the machine."""

    def now(self) -> Millis:
        """Returns milliseconds since an arbitrary start."""
        return time.monotonic() * MS_PER_SECOND


class ManualClock:
    """A clock that moves only when told to."""

    def __init__(self, start: Millis = 0.0):
        self._now = start

    def now(self) -> Millis:
        """Returns the time that was last set."""
        return self._now

    def advance(self, by: Millis) -> None:
        """Moves the clock forward by some milliseconds."""
        self._now += by


def seconds(ms: Millis) -> float:
    """Returns milliseconds as the seconds that libraries ask for."""
    return ms / MS_PER_SECOND
