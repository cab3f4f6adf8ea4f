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
    _tokens: float = dataclasses.field(init=False)
    _refilled_at: clock.Millis | None = None

    def __post_init__(self):
        self._tokens = self.burst

    def available(self, now: clock.Millis) -> float:
        """Returns how much may be taken now."""
        if self._refilled_at is not None:
            elapsed = clock.seconds(now - self._refilled_at)
            grown = self._tokens + elapsed * self.per_second
            self._tokens = min(self.burst, grown)
        self._refilled_at = now
        return self._tokens

    def try_acquire(self, amount: float, now: clock.Millis) -> bool:
        """Takes an amount where it is allowed now."""
        if self.available(now) < amount:
            return False
        self._tokens -= amount
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
    tokens: float = 10.0

    def record_request(self) -> None:
        """Counts an ordinary request."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def try_acquire(self) -> bool:
        """Takes one extra request where it is allowed."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
