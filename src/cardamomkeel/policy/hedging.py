"""When an idempotent request is sent a second time."""

import bisect
import collections
import dataclasses

from cardamomkeel import clock
from cardamomkeel.policy import budget

# Answers that count, and how many are needed before any request is sent
# twice; one in twenty is late by this measure.
WINDOW_ANSWERS = 256
MIN_SAMPLES = 64
DELAY_QUANTILE = 0.95
# Ordinary jitter beyond the quantile must not use the budget up.
DELAY_FACTOR = 1.5
MIN_DELAY_MS = 2.0


@dataclasses.dataclass
class LatencyWindow:
    """The latencies of the newest answers, in order of time and of size."""

    _newest: collections.deque[clock.Millis] = dataclasses.field(
        default_factory=collections.deque
    )
    _ordered: list[clock.Millis] = dataclasses.field(default_factory=list)

    def record(self, latency_ms: clock.Millis) -> None:
        """Takes one answer into account."""
        self._newest.append(latency_ms)
        bisect.insort(self._ordered, latency_ms)
        if len(self._newest) > WINDOW_ANSWERS:
            oldest = self._newest.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]

    def quantile(self, share: float) -> clock.Millis | None:
        """Returns a quantile, or None where too little is known."""
        if len(self._ordered) < MIN_SAMPLES:
            return None
        return self._ordered[int(share * len(self._ordered))]


@dataclasses.dataclass
class Hedging:
    """Decides on the second attempts of one service.

    Attributes:
        budget: How many second attempts are allowed.
    """

    budget: budget.ShareBudget
    _latency_window: LatencyWindow = dataclasses.field(
        default_factory=LatencyWindow
    )

    def record(self, latency_ms: clock.Millis) -> None:
        """Takes one answer into account."""
        self._latency_window.record(latency_ms)

    def delay_ms(self) -> clock.Millis | None:
        """Returns how long to wait for the first attempt, None for ever."""
        if self.budget.share == 0.0:
            return None
        usual_ms = self._latency_window.quantile(DELAY_QUANTILE)
        if usual_ms is None:
            return None
        return max(DELAY_FACTOR * usual_ms, MIN_DELAY_MS)
