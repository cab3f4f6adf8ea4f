"""How often an entry may send a request to one more target.

All entries share what the operators allow: a share of the requests, and a
number besides. Each entry earns with the requests that it serves, and has a
small part of the number that comes back over a window.
"""

from cardamomkeel import clock

# Of the share that the operators allow: requests that an entry counts in one
# window may be counted in another by the operators.
SHARE_USED = 0.6
# Of the number that they allow besides. Within one window an entry may use
# what it had at the start and what came back since, which is twice its part.
SLACK_USED = 0.3
# What was earned and not used is kept up to so many repeats.
EARNED_MOST = 1.0


class Resends:
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
        self._share = share * SHARE_USED
        self._window_ms = window_ms
        self._most = slack * SLACK_USED / max(1, entries)
        self._level = self._most
        self._earned = EARNED_MOST
        self._at = now

    def note_request(self) -> None:
        """Earns a share for a request that came from a caller."""
        self._earned = min(EARNED_MOST, self._earned + self._share)

    def take(self, now: clock.Millis) -> bool:
        """Uses one repeat; False where none is left."""
        back = (now - self._at) / self._window_ms * self._most
        self._level = min(self._most, self._level + back)
        self._at = now
        if self._earned >= 1.0:
            self._earned -= 1.0
            return True
        if self._level + self._earned < 1.0:
            return False
        self._level -= 1.0 - self._earned
        self._earned = 0.0
        return True
