"""Estimates the load of targets that have not reported it recently.

Noisy neighbours slow down a quarter to a third of all machines, for some
hundred milliseconds each. A target that was not probed may be slow, and is as
busy as the others on average. If unprobed targets counted as idle and fast,
each would look better than any probed target, and an entry would probe about
ten for one request. A target that reports to be fast is better than one that
may be fast.
"""

# Smoothing factor of the exponential moving averages.
ANSWER_WEIGHT = 0.05
# Before the first reports targets are assumed idle and not slowed.
INITIAL_SLOWDOWN = 1.0
INITIAL_OCCUPANCY = 0.0


class TypicalLoad:
    """Average load that targets of one service reported.

    Attributes:
        occupancy: Share of their slots in use.
        slowdown: Work time as a multiple of the usual.
    """

    def __init__(self):
        self.occupancy = INITIAL_OCCUPANCY
        self.slowdown = INITIAL_SLOWDOWN

    def record(self, occupancy: float, slowdown: float) -> None:
        """Updates the averages with the report of one target.

        Args:
            occupancy: Share of its slots in use.
            slowdown: Work time as a multiple of the usual.
        """
        self.occupancy += ANSWER_WEIGHT * (occupancy - self.occupancy)
        self.slowdown += ANSWER_WEIGHT * (slowdown - self.slowdown)
