"""Budgets that bound how often something may be done."""

import dataclasses

from cardamomkeel import clock


@dataclasses.dataclass
class TokenBucket:
    """Allows a rate over time, with a burst.

    Attributes:
        per_second: How much is allowed per second.
        burst: How much may be saved up.
    """

    per_second: float
    burst: float
    _level: float = dataclasses.field(init=False)
    _filled_at: clock.Millis | None = None

    def __post_init__(self):
        self._level = self.burst

    def level(self, now: clock.Millis) -> float:
        """Returns how much may be taken now."""
        if self._filled_at is not None:
            elapsed = clock.seconds(now - self._filled_at)
            grown = self._level + elapsed * self.per_second
            self._level = min(self.burst, grown)
        self._filled_at = now
        return self._level

    def take(self, amount: float, now: clock.Millis) -> bool:
        """Takes an amount where it is allowed now."""
        if self.level(now) < amount:
            return False
        self._level -= amount
        return True


@dataclasses.dataclass
class ShareBudget:
    """Allows one extra request for so many ordinary ones.

    Attributes:
        share: How much each ordinary request earns.
        burst: How much may be saved up.
    """

    share: float
    burst: float = 10.0
    level: float = 10.0

    def earn(self) -> None:
        """Counts an ordinary request."""
        self.level = min(self.burst, self.level + self.share)

    def take(self) -> bool:
        """Takes one extra request where it is allowed."""
        if self.level < 1.0:
            return False
        self.level -= 1.0
        return True
