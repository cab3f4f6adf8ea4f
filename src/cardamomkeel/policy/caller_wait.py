"""Estimates how long a caller has waited before this try of its request.

Answers the load after a loss or in a burst: callers that were not answered
come back, and many of their requests can no longer be answered in time. Served
first, they would make those late that still can.

A caller says how long it will still wait. Whoever sends for the first time
says its whole time, which many others say too; what is left of it after a
failed try is a value of its own.
"""

import collections

from cardamomkeel import clock

# Of the last requests of one route.
WINDOW_REQUESTS = 64
# A value that so many of them said is taken for a whole time.
MIN_REQUESTS = 2


class CallerWaitEstimator:
    """What the callers of one route said lately of their time."""

    def __init__(self):
        self._last: collections.deque[clock.Millis] = collections.deque()
        self._counts: collections.Counter[clock.Millis] = collections.Counter()

    def observe(self, remaining_ms: clock.Millis) -> clock.Millis:
        """Returns how long the caller of a request has waited already.

        Args:
            remaining_ms: How long it says that it will still wait.

        Returns:
            0 where nothing tells that it has.
        """
        self._last.append(remaining_ms)
        self._counts[remaining_ms] += 1
        if len(self._last) > WINDOW_REQUESTS:
            oldest = self._last.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        first_attempt_ms = [
            value
            for value, count in self._counts.items()
            if count >= MIN_REQUESTS and value >= remaining_ms
        ]
        return min(first_attempt_ms) - remaining_ms if first_attempt_ms else 0.0
