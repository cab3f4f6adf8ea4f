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
RECENT_MS = 1500.0
# Half-life of what counts as usual work.
USUAL_MS = 30_000.0
# An account is over its share above this multiple of its usual work.
MARGIN = 1.4
# Work in requests that each account may ask for at any time: few requests of a
# small account say little about its rate.
SLACK_REQUESTS = 2.0
# Share of the work over its share that counts as usual, so that an account
# which has grown for good is not refused for ever.
EXCESS_SHARE = 0.1
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
        self._began: clock.Millis | None = None
        self._requests = 0

    def record(self, account: str, work_ms: clock.Millis, now: clock.Millis):
        """Records a request; returns whether it is over the account's share.

        Args:
            account: The name of the account.
            work_ms: The expected work time of the request.
            now: The time.
        """
        if self._began is None:
            self._began = now
        self._requests += 1
        known = self._accounts.get(account)
        if known is None:
            self._forget_idle(now)
            known = self._accounts[account] = _Work(updated_at=now)
        known.decay(now)
        self._all.decay(now)
        over = self._is_over(known, work_ms, now)
        learned_ms = work_ms * (EXCESS_SHARE if over else 1.0)
        for sums in (known, self._all):
            sums.recent += work_ms
            sums.usual += learned_ms
        return over

    def _is_over(
        self, known: _Work, work_ms: clock.Millis, now: clock.Millis
    ) -> bool:
        if self._requests < MIN_KNOWN_REQUESTS:
            return False
        others_usual = self._all.usual - known.usual
        others_recent = self._all.recent - known.recent
        if others_usual <= 0.0 or others_recent <= 0.0:
            return False
        # Both sums of a steady load approach its rate times their time
        # constants; the usual one has not done so soon after the start.
        growth = others_recent / others_usual
        allowed = known.usual * growth * MARGIN + SLACK_REQUESTS * work_ms
        # A sum of few requests varies by about the root of their number.
        allowed += math.sqrt(known.usual * growth * work_ms)
        return known.recent + work_ms > allowed

    def _forget_idle(self, now: clock.Millis) -> None:
        if len(self._accounts) < MAX_ACCOUNTS:
            return
        for name, work in list(self._accounts.items()):
            if now - work.updated_at > USUAL_MS:
                del self._accounts[name]
        if len(self._accounts) >= MAX_ACCOUNTS:
            self._accounts.clear()
