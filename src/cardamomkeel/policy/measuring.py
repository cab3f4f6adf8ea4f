"""How often load may be measured, within the agreed budget."""

import dataclasses

from cardamomkeel import clock
from cardamomkeel.policy import budget

# The share of the budget for announcements that come at their time. The
# rest is for news: new targets, changed states, new instances.
PERIODIC_SHARE = 0.5
# The budget holds over any stretch of time that is longer than this.
BURST_S = 5.0
# An entry may always take this many pieces of news in a row.
MIN_BURST_ANNOUNCEMENTS = 16
# An announcement is early before this share of its period has passed.
MIN_PERIOD_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Rate:
    """What measuring may cost per second."""

    messages: float
    size_bytes: float

    def scaled(self, share: float) -> "Rate":
        """Returns a share of this rate."""
        return Rate(self.messages * share, self.size_bytes * share)


def get_period_ms(rate: Rate, targets: int, message_bytes: int) -> clock.Millis:
    """Returns how often each of some targets may announce itself.

    Args:
        rate: The budget that they share.
        targets: How many targets share it.
        message_bytes: The size of one announcement with its answer.
    """
    periodic = rate.scaled(PERIODIC_SHARE)
    per_second = min(periodic.messages, periodic.size_bytes / message_bytes)
    return clock.MS_PER_SECOND * targets / per_second


class RateLimiter:
    """Allows messages and bytes at a rate."""

    def __init__(self, rate: Rate):
        self.rate = rate
        min_burst = MIN_BURST_ANNOUNCEMENTS
        self._messages = budget.TokenBucket(
            rate.messages, max(min_burst, BURST_S * rate.messages)
        )
        per_message = rate.size_bytes / rate.messages
        self._bytes = budget.TokenBucket(
            rate.size_bytes,
            max(min_burst * per_message, BURST_S * rate.size_bytes),
        )

    def allows(self, size_bytes: int, now: clock.Millis) -> bool:
        """Tells whether a message may be sent or taken now."""
        return (
            self._messages.available(now) >= 1
            and self._bytes.available(now) >= size_bytes
        )

    def acquire(self, size_bytes: int, now: clock.Millis) -> None:
        """Counts a message."""
        self._messages.try_acquire(1, now)
        self._bytes.try_acquire(size_bytes, now)


class RateLimiters:
    """One meter in all and one per service."""

    def __init__(self):
        self._limiters: dict[str, RateLimiter] = {}

    def try_acquire(
        self, rates: dict[str, Rate], size_bytes: int, now: clock.Millis
    ) -> bool:
        """Counts a message at several meters, where all allow it.

        Args:
            rates: The rate of each meter, by its name.
            size_bytes: The size of the message.
            now: The time.
        """
        limiters = [self._get(name, rate) for name, rate in rates.items()]
        if not all(limiter.allows(size_bytes, now) for limiter in limiters):
            return False
        for limiter in limiters:
            limiter.acquire(size_bytes, now)
        return True

    def _get(self, name: str, rate: Rate) -> RateLimiter:
        limiter = self._limiters.get(name)
        if limiter is None or limiter.rate != rate:
            limiter = RateLimiter(rate)
            self._limiters[name] = limiter
        return limiter
