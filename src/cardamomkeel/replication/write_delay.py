"""Remembers how long writes to a disk have recently taken."""

from cardamomkeel import clock

# Disks are slow in spells, with faster writes in between.
MEMORY_MS = 10_000.0


class WriteDelay:
    """The slowest recent write.

    Elections and requests wait longer for a member whose writes are slow: it
    does nothing else while it writes.
    """

    def __init__(self, min_ms: clock.Millis, max_ms: clock.Millis):
        """Creates a memory without a write.

        Args:
            min_ms: Faster writes are not remembered.
            max_ms: The longest time that is remembered.
        """
        self._min_ms = min_ms
        self._max_ms = max_ms
        self._slowest_ms: clock.Millis = 0.0
        self._written_at: clock.Millis = float("-inf")

    def record(self, now: clock.Millis, took_ms: clock.Millis) -> None:
        """Remembers a write that has ended."""
        if took_ms >= max(self._min_ms, self.recent_ms(now)):
            self._slowest_ms = min(took_ms, self._max_ms)
            self._written_at = now

    def recent_ms(self, now: clock.Millis) -> clock.Millis:
        """Returns the time of the slowest recent write; 0 without one."""
        if now - self._written_at > MEMORY_MS:
            return 0.0
        return self._slowest_ms
