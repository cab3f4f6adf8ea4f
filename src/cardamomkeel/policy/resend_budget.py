"""Limits how often an entry may resend a request to another target.

All entries share the budget that the operators allow per window: a share of
the requests, plus a fixed number of resends (slack). In any window, each entry
uses at most that share of the requests that it served itself, and an equal part
of the slack.

With hundreds of entries this may be a fraction of one resend. The fraction is
then the probability with which the next resend is allowed, so that the few
resends that are left are spread over all entries.
"""

import random

from cardamomkeel import clock

# Fractions of the allowed share and slack that entries use. The rest is a
# margin, since operators may count a request in a different window than the
# entry does, and since fractions are rounded at random.
USED_SHARE = 0.75
USED_SLACK_SHARE = 0.6
# Number of steps in which a window slides.
STEPS = 10


class _WindowSum:
    """Sum of the amounts that were added in the last steps."""

    def __init__(self, step_ms: clock.Millis, steps: int):
        self._step_ms = step_ms
        self._amounts = [0.0] * steps
        self._step = 0

    def get(self, now: clock.Millis) -> float:
        """Returns the sum."""
        self._slide(now)
        return sum(self._amounts)

    def add(self, amount: float, now: clock.Millis) -> None:
        """Adds an amount to the current step."""
        self._slide(now)
        self._amounts[self._step % len(self._amounts)] += amount

    def _slide(self, now: clock.Millis) -> None:
        step = int(now / self._step_ms)
        count = len(self._amounts)
        for passed in range(max(self._step + 1, step - count + 1), step + 1):
            self._amounts[passed % count] = 0.0
        self._step = step


class ResendBudget:
    """Resend budget of one entry for one service."""

    def __init__(
        self,
        share: float,
        slack: float,
        window_ms: clock.Millis,
        rng: random.Random,
    ):
        """Creates a full budget.

        Args:
            share: Allowed resends per request.
            slack: Additional resends allowed per window.
            window_ms: Window in which resends are counted.
            rng: Decides whether a fraction of a resend allows one.
        """
        self._share = share * USED_SHARE
        self._slack = slack * USED_SLACK_SHARE
        self._rng = rng
        step_ms = window_ms / STEPS
        self._requests = _WindowSum(step_ms, STEPS)
        # One step more than a window: the first step may be partly in it.
        self._used = _WindowSum(step_ms, STEPS + 1)

    def record_request(self, now: clock.Millis) -> None:
        """Records a request of a caller, a share of which may be resent."""
        self._requests.add(1.0, now)

    def try_acquire(self, now: clock.Millis, entries: int) -> bool:
        """Uses the budget for one resend; returns whether it is allowed.

        Args:
            now: Current time.
            entries: Number of entries that share the budget.
        """
        allowed = self._share * self._requests.get(now)
        allowed += self._slack / max(1, entries)
        left = min(1.0, allowed - self._used.get(now))
        if left <= 0.0:
            return False
        self._used.add(left, now)
        return left >= 1.0 or self._rng.random() < left
