"""What the load of a target is likely to be that has not said it lately.

Answers noisy neighbours that slow a quarter to a third of all machines down,
for some hundred milliseconds each. A target that has not been asked may be one
of them, and is as busy as others are: taking it for idle and fast has an entry
ask ten targets for one request, each looking worse than the next one that was
not asked. One that says that it is fast is better than one that may be.
"""

# How much one answer moves the average.
ANSWER_SHARE = 0.05
# Before the first answers: not slowed, and idle.
FIRST_SLOW = 1.0
FIRST_BUSY = 0.0


class TypicalLoad:
    """What targets of one service have said of their load.

    Attributes:
        busy: The share of their slots that was taken.
        slow: How long work takes as a multiple of the usual.
    """

    def __init__(self):
        self.busy = FIRST_BUSY
        self.slow = FIRST_SLOW

    def note(self, busy: float, slow: float) -> None:
        """Takes what one target said.

        Args:
            busy: The share of its slots that is taken.
            slow: How long work takes there as a multiple of the usual.
        """
        self.busy += ANSWER_SHARE * (busy - self.busy)
        self.slow += ANSWER_SHARE * (slow - self.slow)
