"""Estimates how many slots of a target give the highest throughput.

Some targets slow down when nearly all of their slots are in use. A target with
three slots, whose work takes 1.7 times as long once the third is in use, can
serve 8.0 requests of 220 ms per second with three slots and 9.1 with two, each
with lower latency. The slowdown of each service is estimated from answers.
"""

from cardamomkeel import clock

# Targets may slow down when more than this share of their slots is in use.
NEAR_SATURATION_SHARE = 0.8
# Slowdown assumed before the first answer: low enough that all slots are tried.
INITIAL_FACTOR = 1.45
# Smoothing factor of the estimate.
ANSWER_WEIGHT = 0.1
# Bounds to which each sample is clamped: work on a machine that was slowed
# meanwhile takes many times as long.
MIN_FACTOR = 0.5
MAX_FACTOR = 2.5
# Without answers the estimate decays to its initial value with this half-life,
# so that all slots are tried again.
HALF_LIFE_MS = 5000.0


def count_fast_slots(slots: int) -> int:
    """Returns how many requests a target can run before it may slow down."""
    return max(1, int(slots * NEAR_SATURATION_SHARE))


def count_useful_slots(slots: int, factor: float) -> int:
    """Returns the number of slots in use that gives the highest throughput.

    Args:
        slots: Number of slots of the target.
        factor: Slowdown of work when nearly all slots are in use.
    """
    fast = count_fast_slots(slots)
    return fast if fast * factor >= slots else slots


class SaturationSlowdown:
    """Estimated slowdown of one service at nearly full targets."""

    def __init__(self):
        self._factor = INITIAL_FACTOR
        self._updated_at = float("-inf")

    def factor(self, now: clock.Millis) -> float:
        """Returns the slowdown, as a multiple of the usual work time."""
        decay = 0.5 ** ((now - self._updated_at) / HALF_LIFE_MS)
        return INITIAL_FACTOR + (self._factor - INITIAL_FACTOR) * decay

    def record(
        self, took_ms: clock.Millis, usual_ms: clock.Millis, now: clock.Millis
    ) -> None:
        """Updates the estimate with an answer of a nearly full target.

        Args:
            took_ms: Work time of the answer.
            usual_ms: Usual work time at targets that are not nearly full.
            now: Current time.
        """
        sample = min(MAX_FACTOR, max(MIN_FACTOR, took_ms / usual_ms))
        current = self.factor(now)
        self._factor = current + ANSWER_WEIGHT * (sample - current)
        self._updated_at = now
