"""Monotonic clocks in milliseconds."""

import time
import typing

Millis = float

MS_PER_SECOND = 1000.0


class Clock(typing.Protocol):
    """A clock that never goes back."""

    def now(self) -> Millis:
        """Returns milliseconds since an arbitrary start."""
        ...


class MonotonicClock:
    """Reads a clock of the machine that runs on while it is suspended.

    Leases end by time also if this VM has been suspended meanwhile.
    """

    def now(self) -> Millis:
        """Returns milliseconds since an arbitrary start."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * MS_PER_SECOND


class ManualClock:
    """A clock that tests advance by hand."""

    def __init__(self, start: Millis = 0.0):
        self._now = start

    def now(self) -> Millis:
        """Returns the start time plus all advances, in milliseconds."""
        return self._now

    def advance(self, by: Millis) -> None:
        """Advances the clock by a number of milliseconds."""
        self._now += by


def seconds(ms: Millis) -> float:
    """Converts milliseconds to seconds, the unit of most libraries."""
    return ms / MS_PER_SECOND
