"""How long an entry's work may go on after the end of its lease.

An entry says with each poll how long its work may go on after the lease that
this poll gets. It keeps to what it said: a request starts only if it ends
within the lease and that time. When the entry is lost, its targets need not
wait for any longer work than that.
"""

import dataclasses
import math

from cardamomkeel import clock
from cardamomkeel.policy import slots

# Promises rise in steps, so that few polls change them.
STEP_MS = 250.0
# How long a promise is kept after a request last needed it.
HOLD_MS = 5000.0
# How long a connection may take to open after a request was found to fit.
MARGIN_MS = 50.0

# How long work may go on after the lease, by service; most have none.
Bounds = dict[str, int]


@dataclasses.dataclass
class _Wanted:
    """What the requests to one service need.

    Attributes:
        after_ms: How long after the lease they may run.
        until: Until when that is kept.
        latest_end: When all work given so far has ended for certain.
    """

    after_ms: int = 0
    until: clock.Millis = float("-inf")
    latest_end: clock.Millis = float("-inf")


class Promises:
    """What one entry has promised, and what it may give for that.

    A promise that falls binds from the moment it is sent, since the leader
    may count it although its answer is lost. One that rises is used only once
    the leader has confirmed it.

    Attributes:
        number: The number of the newest poll.
        term: The term of the leader that answered last.
    """

    def __init__(self):
        self.number = 0
        self.term = 0
        self._lease_ms = 0.0
        self._wanted: dict[str, _Wanted] = {}
        self._confirmed: Bounds = {}
        # What was sent and not confirmed yet, by the number of the poll.
        self._open: dict[int, Bounds] = {}

    def send(self, now: clock.Millis, is_fresh: bool) -> Bounds:
        """Returns what the next poll promises; it binds from now on.

        Args:
            now: The time at which the lease of that poll begins.
            is_fresh: Whether the entry holds a lease. Where not, it gives
                nothing before the next poll is confirmed.
        """
        if not is_fresh:
            self._open.clear()
        lease_until = now + self._lease_ms
        bounds = {}
        for service, wanted in list(self._wanted.items()):
            if wanted.until <= now:
                wanted.after_ms = 0
            if wanted.latest_end <= now and not wanted.after_ms:
                del self._wanted[service]
                continue
            given_ms = max(0.0, wanted.latest_end - lease_until)
            after_ms = max(math.ceil(given_ms), wanted.after_ms)
            if after_ms:
                bounds[service] = after_ms
        self.number += 1
        self._open[self.number] = bounds
        return bounds

    def confirm(self, number: int, term: int, lease_ms: clock.Millis) -> None:
        """Takes the answer to a poll.

        Args:
            number: The number of the poll.
            term: The term of the leader that answered.
            lease_ms: How long the lease runs from when it was asked for.
        """
        if number not in self._open:
            return
        self._confirmed = self._open[number]
        self._open = {n: b for n, b in self._open.items() if n > number}
        self.term = term
        self._lease_ms = lease_ms

    def usable_ms(self, service: str) -> int:
        """Returns how long after the lease new work may go on."""
        promised = [self._confirmed, *self._open.values()]
        return min(bounds.get(service, 0) for bounds in promised)

    def cover_ms(
        self, service: str, now: clock.Millis, lease_until: clock.Millis
    ) -> clock.Millis:
        """Returns the longest time that a request may be allowed now."""
        left_ms = lease_until + self.usable_ms(service) - now - MARGIN_MS
        return slots.allow_work(left_ms)

    def want(
        self,
        service: str,
        now: clock.Millis,
        lease_until: clock.Millis,
        allowed_ms: clock.Millis,
    ) -> None:
        """Has the next polls promise what a request needs."""
        end = now + slots.bound_work(allowed_ms) + MARGIN_MS
        if end <= lease_until:
            return
        after_ms = math.ceil((end - lease_until) / STEP_MS) * int(STEP_MS)
        wanted = self._wanted.setdefault(service, _Wanted())
        if wanted.until <= now:
            wanted.after_ms = 0
        wanted.after_ms = max(wanted.after_ms, after_ms)
        wanted.until = now + HOLD_MS

    def give(
        self, service: str, until: clock.Millis, lease_until: clock.Millis
    ) -> bool:
        """Notes work that is about to start; False where it may not."""
        if until > lease_until and (
            until > lease_until + self.usable_ms(service)
        ):
            return False
        wanted = self._wanted.setdefault(service, _Wanted())
        wanted.latest_end = max(wanted.latest_end, until)
        return True
