"""Token budgets that limit how often an action may be taken."""

import dataclasses

from cardamomkeel import clock


@dataclasses.dataclass
class TokenBucket:
    """Token bucket with a constant refill rate.

    Attributes:
        per_second: Tokens added per second.
        burst: Capacity in tokens; the bucket starts full.
    """

    per_second: float
    burst: float
    _tokens: float = dataclasses.field(init=False)
    _refilled_at: clock.Millis | None = None

    def __post_init__(self):
        self._tokens = self.burst

    def available(self, now: clock.Millis) -> float:
        """Returns the number of tokens in the bucket after refilling it."""
        if self._refilled_at is not None:
            elapsed_s = clock.seconds(now - self._refilled_at)
            refilled = self._tokens + elapsed_s * self.per_second
            self._tokens = min(self.burst, refilled)
        self._refilled_at = now
        return self._tokens

    def try_acquire(self, amount: float, now: clock.Millis) -> bool:
        """Removes tokens; returns False if there are too few."""
        if self.available(now) < amount:
            return False
        self._tokens -= amount
        return True


@dataclasses.dataclass
class ShareBudget:
    """Budget for retries or hedges, as a share of ordinary requests.

    Attributes:
        share: Tokens added by each ordinary request.
        burst: Most tokens that can be accumulated.
        tokens: Tokens available now; each extra request costs one.
    """

    share: float
    burst: float = 10.0
    tokens: float = 10.0

    def record_request(self) -> None:
        """Adds the tokens that an ordinary request earns."""
        self.tokens = min(self.burst, self.tokens + self.share)

    def try_acquire(self) -> bool:
        """Removes one token; returns False if there is none."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True
