"""What the load of a target is likely to be that has not said it lately.

Answers noisy neighbours that slow a quarter to a third of all machines down,
for some hundred milliseconds each. A target that has not been asked may be one
of them, and is as busy as others are: taking it for idle and fast has an entry
ask ten targets for one request, each looking worse than the next one that was
not asked. One that says that it is fast is better than one that may be.
"""

# How much one answer moves the average.
ANSWER_WEIGHT = 0.05
# Before the first answers: not slowed, and idle.
INITIAL_SLOWDOWN = 1.0
INITIAL_OCCUPANCY = 0.0


class TypicalLoad:
    """What targets of one service have said of their load.

    Attributes:
        occupancy: The share of their slots that was taken.
        slowdown: How long work takes as a multiple of the usual.
    """

    def __init__(self):
        self.occupancy = INITIAL_OCCUPANCY
        self.slowdown = INITIAL_SLOWDOWN

    def record(self, occupancy: float, slowdown: float) -> None:
        """Takes what one target said.

        Args:
            occupancy: The share of its slots that is taken.
            slowdown: How long work takes there as a multiple of the usual.
        """
        self.occupancy += ANSWER_WEIGHT * (occupancy - self.occupancy)
        self.slowdown += ANSWER_WEIGHT * (slowdown - self.slowdown)
