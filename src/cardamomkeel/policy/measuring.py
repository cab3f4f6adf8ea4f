"""How often load may be measured, within the agreed budget."""

import dataclasses

from cardamomkeel import clock
from cardamomkeel.policy import budget

# The share of the budget for announcements that come at their time. The
# rest is for news: new targets, changed states, new instances.
ORDINARY_SHARE = 0.5
# The budget holds over any stretch of time that is longer than this.
BURST_S = 5.0
# An entry may always take this many pieces of news in a row.
LEAST_BURST = 16
# An announcement is early before this share of its period has passed.
EARLY_SHARE = 0.5


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
    ordinary = rate.scaled(ORDINARY_SHARE)
    per_second = min(ordinary.messages, ordinary.size_bytes / message_bytes)
    return clock.MS_PER_SECOND * targets / per_second


class Meter:
    """Allows messages and bytes at a rate."""

    def __init__(self, rate: Rate):
        self.rate = rate
        least = LEAST_BURST
        self._messages = budget.TokenBucket(
            rate.messages, max(least, BURST_S * rate.messages)
        )
        per_message = rate.size_bytes / rate.messages
        self._bytes = budget.TokenBucket(
            rate.size_bytes,
            max(least * per_message, BURST_S * rate.size_bytes),
        )

    def allows(self, size_bytes: int, now: clock.Millis) -> bool:
        """Tells whether a message may be sent or taken now."""
        return (
            self._messages.level(now) >= 1
            and self._bytes.level(now) >= size_bytes
        )

    def take(self, size_bytes: int, now: clock.Millis) -> None:
        """Counts a message."""
        self._messages.take(1, now)
        self._bytes.take(size_bytes, now)


class Meters:
    """One meter in all and one per service."""

    def __init__(self):
        self._meters: dict[str, Meter] = {}

    def take(
        self, rates: dict[str, Rate], size_bytes: int, now: clock.Millis
    ) -> bool:
        """Counts a message at several meters, where all allow it.

        Args:
            rates: The rate of each meter, by its name.
            size_bytes: The size of the message.
            now: The time.
        """
        meters = [self._get(name, rate) for name, rate in rates.items()]
        if not all(meter.allows(size_bytes, now) for meter in meters):
            return False
        for meter in meters:
            meter.take(size_bytes, now)
        return True

    def _get(self, name: str, rate: Rate) -> Meter:
        meter = self._meters.get(name)
        if meter is None or meter.rate != rate:
            meter = Meter(rate)
            self._meters[name] = meter
        return meter
