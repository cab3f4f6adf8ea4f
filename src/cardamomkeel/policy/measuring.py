"""Limits the rate of announcements to the budget for measuring load."""

import dataclasses

from cardamomkeel import clock
from cardamomkeel.policy import budget

# Share of the budget for periodic announcements. The rest is for changes: new
# targets, changed states, new instances.
PERIODIC_SHARE = 0.5
# The budget is kept over any period that is longer than this.
BURST_S = 5.0
# An entry may always accept this many announced changes in a row.
MIN_BURST_ANNOUNCEMENTS = 16
# An announcement is early before this share of its period has elapsed.
MIN_PERIOD_SHARE = 0.5


@dataclasses.dataclass(frozen=True)
class Rate:
    """Budget for measuring: messages and bytes per second."""

    messages: float
    size_bytes: float

    def scaled(self, share: float) -> "Rate":
        """Returns this rate multiplied by a share."""
        return Rate(self.messages * share, self.size_bytes * share)


def get_period_ms(rate: Rate, targets: int, message_bytes: int) -> clock.Millis:
    """Returns the period between announcements of each target.

    Args:
        rate: Budget of all targets together.
        targets: Number of targets.
        message_bytes: Size of one announcement with its answer.
    """
    periodic = rate.scaled(PERIODIC_SHARE)
    per_second = min(periodic.messages, periodic.size_bytes / message_bytes)
    return clock.MS_PER_SECOND * targets / per_second


class RateLimiter:
    """Limits the rate of messages and of their bytes."""

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
        """Returns whether a message may be sent or accepted now."""
        return (
            self._messages.available(now) >= 1
            and self._bytes.available(now) >= size_bytes
        )

    def acquire(self, size_bytes: int, now: clock.Millis) -> None:
        """Consumes the budget of a message that is allowed."""
        self._messages.try_acquire(1, now)
        self._bytes.try_acquire(size_bytes, now)


class RateLimiters:
    """Rate limiters by name: one in total and one per service."""

    def __init__(self):
        self._limiters: dict[str, RateLimiter] = {}

    def try_acquire(
        self, rates: dict[str, Rate], size_bytes: int, now: clock.Millis
    ) -> bool:
        """Consumes the budget of a message if all limiters allow it.

        Args:
            rates: Rates of the limiters, by their names.
            size_bytes: Size of the message.
            now: Current time.

        Returns:
            False if a limiter refuses the message; none is charged then.
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
