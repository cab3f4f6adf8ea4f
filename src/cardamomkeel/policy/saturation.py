"""How many of a target's slots are worth using.

Answers targets that slow down when nearly all of their slots are taken. One of
three slots whose last one makes work take 1.7 times as long answers 8.0
requests of 220 ms a second with all three in use, and 9.1 with two, each of
them sooner. Whether targets of a service do so is learned from their answers.
"""

from cardamomkeel import clock

# Targets may slow down where more than this share of their slots is taken.
NEAR_SATURATION_SHARE = 0.8
# How much longer work takes then, before any answer tells: little enough that
# all slots are tried.
INITIAL_FACTOR = 1.45
# How much one answer moves the estimate, and between what bounds it counts: a
# machine that was slowed meanwhile takes many times as long.
ANSWER_WEIGHT = 0.1
MIN_FACTOR = 0.5
MAX_FACTOR = 2.5
# What was learned halves in this time unused, so that all are tried again.
HALF_LIFE_MS = 5000.0


def count_fast_slots(slots: int) -> int:
    """Returns how many requests a target runs before it may slow down."""
    return max(1, int(slots * NEAR_SATURATION_SHARE))


def count_useful_slots(slots: int, factor: float) -> int:
    """Returns how many slots in use answer most requests a second.

    Args:
        slots: How many there are.
        factor: How much longer work takes where nearly all of them are taken.
    """
    fast = count_fast_slots(slots)
    return fast if fast * factor >= slots else slots


class SaturationSlowdown:
    """How much longer work of one service takes at targets nearly full."""

    def __init__(self):
        self._factor = INITIAL_FACTOR
        self._learned_at = float("-inf")

    def factor(self, now: clock.Millis) -> float:
        """Returns how long work takes there, as a multiple of the usual."""
        faded = 0.5 ** ((now - self._learned_at) / HALF_LIFE_MS)
        return INITIAL_FACTOR + (self._factor - INITIAL_FACTOR) * faded

    def record(
        self, took_ms: clock.Millis, usual_ms: clock.Millis, now: clock.Millis
    ) -> None:
        """Counts an answer of a target that was nearly full.

        Args:
            took_ms: How long it took.
            usual_ms: How long it takes at targets that are not.
            now: The time.
        """
        told = min(MAX_FACTOR, max(MIN_FACTOR, took_ms / usual_ms))
        known = self.factor(now)
        self._factor = known + ANSWER_WEIGHT * (told - known)
        self._learned_at = now
