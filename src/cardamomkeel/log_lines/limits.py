"""Limits the rate of log lines that callers cause."""

import loguru

from cardamomkeel import clock
from cardamomkeel.log_lines import registry

logger = loguru.logger


class Limit:
    """Limits the rate of one kind of line and counts the dropped lines."""

    def __init__(self, message: str, clk: clock.Clock):
        """Creates the limit for one kind of log line.

        Args:
            message: The message of these lines; the registry has its rate
                limit.
            clk: The clock.
        """
        self._max_per_s = registry.get_max_per_s(message)
        self._clock = clk
        self._tokens = self._max_per_s
        self._refilled_at = clk.now()
        self._dropped = 0

    def may_write(self) -> bool:
        """Returns whether one more line may be written now.

        Logs the number of lines dropped since the last line that was allowed.
        """
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
