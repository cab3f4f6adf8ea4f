"""Decides when to hedge an idempotent request with a second attempt."""

import bisect
import collections
import dataclasses

from cardamomkeel import clock
from cardamomkeel.policy import budget

# Number of answers in the sliding window.
WINDOW_ANSWERS = 256
# Number of answers needed before any request is hedged.
MIN_SAMPLES = 64
# Quantile of latency after which an attempt counts as late (1 in 20).
DELAY_QUANTILE = 0.95
# A request is hedged after this multiple of the quantile, so that ordinary
# jitter does not exhaust the budget.
DELAY_FACTOR = 1.5
# Lower bound of the delay before a request is hedged.
MIN_DELAY_MS = 2.0


@dataclasses.dataclass
class LatencyWindow:
    """Sliding window over the latencies of the newest answers."""

    _newest: collections.deque[clock.Millis] = dataclasses.field(
        default_factory=collections.deque
    )
    _ordered: list[clock.Millis] = dataclasses.field(default_factory=list)

    def record(self, latency_ms: clock.Millis) -> None:
        """Adds an answer and drops the oldest one beyond the window."""
        self._newest.append(latency_ms)
        bisect.insort(self._ordered, latency_ms)
        if len(self._newest) > WINDOW_ANSWERS:
            oldest = self._newest.popleft()
            del self._ordered[bisect.bisect_left(self._ordered, oldest)]

    def quantile(self, share: float) -> clock.Millis | None:
        """Returns a quantile, or None if there are too few samples."""
        if len(self._ordered) < MIN_SAMPLES:
            return None
        return self._ordered[int(share * len(self._ordered))]


@dataclasses.dataclass
class Hedging:
    """Hedging policy of one service.

    Attributes:
        budget: Limits the number of second attempts.
    """

    budget: budget.ShareBudget
    _latency_window: LatencyWindow = dataclasses.field(
        default_factory=LatencyWindow
    )

    def record(self, latency_ms: clock.Millis) -> None:
        """Records the latency of an answer."""
        self._latency_window.record(latency_ms)

    def delay_ms(self) -> clock.Millis | None:
        """Returns how long to wait before hedging; None for no hedge."""
        if self.budget.share == 0.0:
            return None
        usual_ms = self._latency_window.quantile(DELAY_QUANTILE)
        if usual_ms is None:
            return None
        return max(DELAY_FACTOR * usual_ms, MIN_DELAY_MS)
