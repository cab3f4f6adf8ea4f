"""Estimates how long a request would wait for a target of a service.

When a service is short of room, requests of all entries compete for each slot
that comes free, and no entry sees the others' queues. What an entry can see is
how long the first request of its own queue waits, which grows with all queues.
A request that would wait longer than its remaining time allows is better
refused at once: its caller may return when there is room, and the slots are
left to requests that can still be answered in time.

Answers the load of a burst at 1.5 to 2.5 times the room of a service.
"""

from cardamomkeel import clock

# Weight of one wait in the moving average.
SAMPLE_WEIGHT = 0.2
# Half-life of the estimate without new waits, so that requests are tried again.
# An entry may get few requests a second, and bursts last for seconds.
HALF_LIFE_MS = 1000.0
# A service is short of room while the first request waits longer than this: a
# free slot is found within one load probe.
SHORT_WAIT_MS = 5.0
# A shortage has ended once the wait is below this share of the limit.
END_SHARE = 0.5
# Fewer long waits may have been a hiccup: the shortage has then ended as well
# once this many requests in a row found a target at once, or this long after
# the last wait.
MIN_LONG_WAITS = 2
HICCUP_END_REQUESTS = 4
HICCUP_END_MS = 1000.0


class WaitEstimate:
    """Expected wait of the first request in the queue of one service.

    Attributes:
        updated_at: When the last wait was recorded, on the local clock.
    """

    def __init__(self):
        self._head_ms = 0.0
        self.updated_at: clock.Millis = 0.0
        self._is_short = False
        # Since the shortage began, and in a row.
        self._long_waits = 0
        self._found_at_once = 0

    def head_ms(self, now: clock.Millis) -> clock.Millis:
        """Returns the expected wait of a request at the head of the queue."""
        return self._head_ms * 0.5 ** ((now - self.updated_at) / HALF_LIFE_MS)

    def record(self, waited_ms: clock.Millis, now: clock.Millis) -> None:
        """Records a wait at the head of the queue.

        Args:
            waited_ms: How long the request waited; for one that found no
                target, at least how long.
            now: The time.
        """
        before = self.head_ms(now)
        self._head_ms = before + SAMPLE_WEIGHT * (waited_ms - before)
        self.updated_at = now
        if waited_ms > SHORT_WAIT_MS:
            self._long_waits += 1
            self._found_at_once = 0
        else:
            self._found_at_once += 1

    def is_short(self, now: clock.Millis) -> bool:
        """Returns whether the service is short of room, with hysteresis."""
        limit_ms = SHORT_WAIT_MS * (END_SHARE if self._is_short else 1.0)
        self._is_short = self.head_ms(now) > limit_ms
        if self._is_short and self._is_hiccup_over(now):
            self._is_short = False
            self._head_ms = 0.0
        if not self._is_short:
            self._long_waits = 0
        return self._is_short

    def has_found_room(self) -> bool:
        """Returns whether the newest request found a target at once."""
        return self._found_at_once > 0

    def _is_hiccup_over(self, now: clock.Millis) -> bool:
        return self._long_waits < MIN_LONG_WAITS and (
            self._found_at_once >= HICCUP_END_REQUESTS
            or now - self.updated_at >= HICCUP_END_MS
        )

    def expect_ms(
        self, ahead: int, least_interval_ms: clock.Millis, now: clock.Millis
    ) -> clock.Millis:
        """Returns the expected wait behind some other requests.

        Args:
            ahead: How many requests of this entry are served before it.
            least_interval_ms: The shortest mean time in which a slot of the
                service comes free.
            now: The time.
        """
        head_ms = self.head_ms(now)
        return head_ms + ahead * max(head_ms, least_interval_ms)


def retry_after_ms(
    remaining_ms: clock.Millis,
    work_ms: clock.Millis,
    spread: float,
) -> clock.Millis:
    """Returns when a refused caller is to return.

    Those who are refused together return spread evenly over the time that is
    left to them, after the time of one request, when the slots that are in use
    now have come free, and early enough to be answered.

    Args:
        remaining_ms: Time until the caller gives up.
        work_ms: Expected work time of the request.
        spread: A random number of the request, 0 to 1.
    """
    latest_ms = max(work_ms, remaining_ms / 3 - work_ms)
    return work_ms + spread * (latest_ms - work_ms)
