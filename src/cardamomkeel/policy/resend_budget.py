"""How often an entry may send a request to one more target.

All entries share what the operators allow: a share of the requests, and a
number besides. Each entry earns with the requests that it serves, and has a
small part of the number that comes back over a window.
"""

from cardamomkeel import clock

# Of the share that the operators allow: requests that an entry counts in one
# window may be counted in another by the operators.
USED_SHARE = 0.6
# Of the number that they allow besides. Within one window an entry may use
# what it had at the start and what came back since, which is twice its part.
USED_SLACK_SHARE = 0.3
# What was earned and not used is kept up to so many repeats.
MAX_EARNED_TOKENS = 1.0


class ResendBudget:
    """The part of one entry, for one service."""

    def __init__(
        self,
        share: float,
        slack: float,
        window_ms: clock.Millis,
        entries: int,
        now: clock.Millis,
    ):
        """Makes a full allowance.

        Args:
            share: Repeats for each request that the operators allow.
            slack: Repeats that they allow besides, in one window.
            window_ms: The window in which repeats are counted.
            entries: How many entries share it.
            now: The time.
        """
        self._share = share * USED_SHARE
        self._window_ms = window_ms
        self._burst = slack * USED_SLACK_SHARE / max(1, entries)
        self._tokens = self._burst
        self._earned = MAX_EARNED_TOKENS
        self._refilled_at = now

    def record_request(self) -> None:
        """Earns a share for a request that came from a caller."""
        self._earned = min(MAX_EARNED_TOKENS, self._earned + self._share)

    def try_acquire(self, now: clock.Millis) -> bool:
        """Uses one repeat; False where none is left."""
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
