"""Bounds how many lines of the kinds that callers cause are written."""

import loguru

from cardamomkeel import clock
from cardamomkeel.log_lines import registry

logger = loguru.logger


class Limit:
    """Lets so many lines a second of one kind be written, and counts others."""

    def __init__(self, message: str, clk: clock.Clock):
        """Makes a limit.

        Args:
            message: The kind, which has a bound in the table.
            clk: The clock.
        """
        self._max_per_s = registry.get_max_per_s(message)
        self._clock = clk
        self._tokens = self._max_per_s
        self._refilled_at = clk.now()
        self._dropped = 0

    def may_write(self) -> bool:
        """Tells whether one more line may be written now."""
        now = self._clock.now()
        gained = clock.seconds(now - self._refilled_at) * self._max_per_s
        self._tokens = min(self._max_per_s, self._tokens + gained)
        self._refilled_at = now
        if self._tokens < 1:
            self._dropped += 1
            return False
        self._tokens -= 1
        if self._dropped:
            logger.warning("dropped lines", count=self._dropped)
            self._dropped = 0
        return True
