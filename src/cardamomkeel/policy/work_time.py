"""Estimates how long requests of one service take, from few answers.

Answers load that shifts within milliseconds: whether a machine that is slowed
now is too slow for a request can only be told where the usual time is about
right. An entry has to know it soon: right after its start, all callers are
back at once and it gets few answers of each service.
"""

from cardamomkeel import clock
from cardamomkeel.policy import saturation

# Before the first answer, as a share of the objective of the service's routes:
# an objective leaves room for answers that take twice the usual time.
INITIAL_SHARE = 0.4
# The guess where there is no route to the service.
DEFAULT_WORK_MS = 100.0
# How many answers count alike; the guess counts as one of them.
WINDOW_ANSWERS = 20
# So many answers tell more than the guess.
MIN_KNOWN_ANSWERS = 3
# From this answer on, one of them moves the estimate by no more than this
# multiple of it.
MIN_BOUNDED_ANSWERS = 8
MAX_ANSWER_FACTOR = 1.5


class WorkTime:
    """How long requests of one service take, over all its targets.

    Attributes:
        saturation: How much longer they take at targets that are nearly full.
    """

    def __init__(self):
        self.saturation = saturation.SaturationSlowdown()
        self._initial_ms = DEFAULT_WORK_MS
        self._mean_ms = 0.0
        self._answers = 0

    def set_initial_estimate(self, objective_ms: clock.Millis) -> None:
        """Takes what the shortest objective of the service's routes tells."""
        self._initial_ms = objective_ms * INITIAL_SHARE

    def record(self, took_ms: clock.Millis) -> None:
        """Counts an answer of a machine that is not slowed."""
        expected = self.expect_ms()
        if self._answers >= MIN_BOUNDED_ANSWERS:
            took_ms = min(took_ms, expected * MAX_ANSWER_FACTOR)
        self._answers += 1
        share = 1 / min(WINDOW_ANSWERS, self._answers + 1)
        self._mean_ms = expected + share * (took_ms - expected)

    def is_known(self) -> bool:
        """Tells whether answers can be compared with the estimate."""
        return self._answers >= MIN_KNOWN_ANSWERS

    def expect_ms(self) -> clock.Millis:
        """Returns how long a request is expected to take."""
        return self._mean_ms if self._answers else self._initial_ms
