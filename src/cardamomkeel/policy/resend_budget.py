"""Limits how often an entry may resend a request to another target.

All entries share the budget that the operators allow per window: a share of
the requests, plus a fixed number of resends (slack). Each entry earns tokens
with the requests that it serves, and has a small part of the slack, which is
refilled over a window.
"""

from cardamomkeel import clock

# Fraction of the allowed share that an entry uses. The rest is a margin, since
# operators may count a request in a different window than the entry does.
USED_SHARE = 0.6
# Fraction of the allowed slack that an entry uses. Within one window it may use
# the tokens that it had at the start and those refilled since, together twice
# its part.
USED_SLACK_SHARE = 0.3
# Upper bound of the earned tokens that an entry keeps.
MAX_EARNED_TOKENS = 1.0


class ResendBudget:
    """Resend budget of one entry for one service."""

    def __init__(
        self,
        share: float,
        slack: float,
        window_ms: clock.Millis,
        entries: int,
        now: clock.Millis,
    ):
        """Creates a full budget.

        Args:
            share: Allowed resends per request.
            slack: Additional resends allowed per window.
            window_ms: Window in which resends are counted.
            entries: Number of entries that share the budget.
            now: Current time.
        """
        self._share = share * USED_SHARE
        self._window_ms = window_ms
        self._burst = slack * USED_SLACK_SHARE / max(1, entries)
        self._tokens = self._burst
        self._earned = MAX_EARNED_TOKENS
        self._refilled_at = now

    def record_request(self) -> None:
        """Adds the tokens that a request of a caller earns."""
        self._earned = min(MAX_EARNED_TOKENS, self._earned + self._share)

    def try_acquire(self, now: clock.Millis) -> bool:
        """Removes the token of one resend; returns False if there is none."""
        refill = (now - self._refilled_at) / self._window_ms * self._burst
        self._tokens = min(self._burst, self._tokens + refill)
        self._refilled_at = now
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        if self._tokens + self._earned < 1.0:
            return False
        self._tokens -= 1.0 - self._earned
        self._earned = 0.0
        return True
