"""Tells which client account asks for more than its usual share.

Under overload the rush of one account must cost that account and no other. An
entry gets few requests of each account, so shares are compared over seconds:
an account is over its share once it asks for clearly more work than usual while
the others don't. A load that grows for all accounts alike makes none of them
exceed its share. What an account leaves over is used by all.

Answers a service at 1.6 times its room with 87 accounts of skew 1.2, one of
which sends 9 times its usual.
"""

import dataclasses
import math

from cardamomkeel import clock

# Half-life of what counts as recent work.
RECENT_MS = 4000.0
# Half-life of what counts as usual work.
USUAL_MS = 30_000.0
# An account is over its share above this multiple of its usual work.
MARGIN = 1.15
# Work in requests that each account may ask for at any time: few requests of a
# small account say little about its rate.
SLACK_REQUESTS = 1.5
# Share of the work above the usual that counts as usual under overload, so that
# an account which has grown for good is not refused for ever.
EXCESS_SHARE = 0.02
# Before this much work is known, in requests, no account is over its share.
MIN_KNOWN_REQUESTS = 20.0
# Number of accounts that are remembered; of more, the idle ones are forgotten.
MAX_ACCOUNTS = 4096


@dataclasses.dataclass(slots=True)
class _Work:
    """Decayed sums of the work that was asked for, in milliseconds."""

    recent: float = 0.0
    usual: float = 0.0
    updated_at: clock.Millis = 0.0

    def decay(self, now: clock.Millis) -> None:
        """Lets old work count less."""
        passed = now - self.updated_at
        self.recent *= 0.5 ** (passed / RECENT_MS)
        self.usual *= 0.5 ** (passed / USUAL_MS)
        self.updated_at = now


class AccountShares:
    """Recent and usual work of the accounts of one service at one entry."""

    def __init__(self):
        self._accounts: dict[str, _Work] = {}
        self._all = _Work()
        self._requests = 0

    def admit(
        self,
        account: str,
        work_ms: clock.Millis,
        is_short: bool,
        now: clock.Millis,
    ) -> bool:
        """Records a request; returns whether its account may have it served.

        Args:
            account: The name of the account.
            work_ms: The expected work time of the request.
            is_short: Whether the service is short of room. If it is not, no
                request is over the share of its account.
            now: The time.
        """
        self._requests += 1
        known = self._accounts.get(account)
        if known is None:
            self._forget_idle(now)
            known = self._accounts[account] = _Work(updated_at=now)
        known.decay(now)
        self._all.decay(now)
        usual_ms = self._expect_usual(known)
        # A sum of few requests varies by about the root of their number.
        spread_ms = math.sqrt(usual_ms * work_ms) / 2
        slack_ms = SLACK_REQUESTS * work_ms + spread_ms
        over_ms = known.recent + work_ms - slack_ms
        is_refused = is_short and over_ms > usual_ms * MARGIN
        is_learned = not is_short or over_ms <= usual_ms
        for sums in (known, self._all):
            sums.usual += work_ms * (1.0 if is_learned else EXCESS_SHARE)
            # An account whose rush is refused still gets its share.
            sums.recent += 0.0 if is_refused else work_ms
        return not is_refused

    def _expect_usual(self, known: _Work) -> clock.Millis:
        """Returns the recent work of an account if it asks as usual.

        Its share grows with the work of the others.
        """
        others_usual = self._all.usual - known.usual
        others_recent = self._all.recent - known.recent
        if self._requests < MIN_KNOWN_REQUESTS or others_usual <= 0.0:
            return math.inf
        return known.usual * others_recent / others_usual

    def _forget_idle(self, now: clock.Millis) -> None:
        if len(self._accounts) < MAX_ACCOUNTS:
            return
        for name, work in list(self._accounts.items()):
            if now - work.updated_at > USUAL_MS:
                del self._accounts[name]
        if len(self._accounts) >= MAX_ACCOUNTS:
            self._accounts.clear()
