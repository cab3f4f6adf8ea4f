"""Estimates how long a caller has already waited for a request.

After a loss or in a burst, callers that got no answer retry, and many of their
requests can no longer be answered in time. If these were served first, requests
that can still be answered in time would become late.

A request carries the time that its caller will still wait. On a first attempt
this is the full timeout, which many callers share; on a retry it is what
remains of the timeout, a value that rarely repeats.
"""

import collections

from cardamomkeel import clock

# Sliding window over the last requests of a route.
WINDOW_REQUESTS = 64
# A value counts as a full timeout if at least this many requests carried it.
MIN_REQUESTS = 2


class CallerWaitEstimator:
    """Remaining times that the last requests of one route carried."""

    def __init__(self):
        self._last: collections.deque[clock.Millis] = collections.deque()
        self._counts: collections.Counter[clock.Millis] = collections.Counter()

    def observe(self, remaining_ms: clock.Millis) -> clock.Millis:
        """Records a request and estimates how long its caller has waited.

        Args:
            remaining_ms: Time that the caller will still wait.

        Returns:
            Time waited so far; 0 if no known timeout fits.
        """
        self._last.append(remaining_ms)
        self._counts[remaining_ms] += 1
        if len(self._last) > WINDOW_REQUESTS:
            oldest = self._last.popleft()
            self._counts[oldest] -= 1
            if not self._counts[oldest]:
                del self._counts[oldest]
        timeouts_ms = [
            value
            for value, count in self._counts.items()
            if count >= MIN_REQUESTS and value >= remaining_ms
        ]
        return min(timeouts_ms) - remaining_ms if timeouts_ms else 0.0
