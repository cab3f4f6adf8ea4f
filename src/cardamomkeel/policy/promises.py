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
KEEP_MS = 5000.0
# How long a connection may take to open after a request was found to fit.
CONNECT_MARGIN_MS = 50.0

# How long work may go on after the lease, by service; most have none.
Bounds = dict[str, int]


@dataclasses.dataclass
class _Requirement:
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
        self._requirements: dict[str, _Requirement] = {}
        self._confirmed: Bounds = {}
        # What was sent and not confirmed yet, by the number of the poll.
        self._unconfirmed: dict[int, Bounds] = {}

    def send(self, now: clock.Millis, is_fresh: bool) -> Bounds:
        """Returns what the next poll promises; it binds from now on.

        Args:
            now: The time at which the lease of that poll begins.
            is_fresh: Whether the entry holds a lease. Where not, it gives
                nothing before the next poll is confirmed.
        """
        if not is_fresh:
            self._unconfirmed.clear()
        lease_until = now + self._lease_ms
        bounds = {}
        for service, requirement in list(self._requirements.items()):
            if requirement.until <= now:
                requirement.after_ms = 0
            if requirement.latest_end <= now and not requirement.after_ms:
                del self._requirements[service]
                continue
            given_ms = max(0.0, requirement.latest_end - lease_until)
            after_ms = max(math.ceil(given_ms), requirement.after_ms)
            if after_ms:
                bounds[service] = after_ms
        self.number += 1
        self._unconfirmed[self.number] = bounds
        return bounds

    def confirm(self, number: int, term: int, lease_ms: clock.Millis) -> None:
        """Takes the answer to a poll.

        Args:
            number: The number of the poll.
            term: The term of the leader that answered.
            lease_ms: How long the lease runs from when it was asked for.
        """
        if number not in self._unconfirmed:
            return
        self._confirmed = self._unconfirmed[number]
        self._unconfirmed = {
            n: b for n, b in self._unconfirmed.items() if n > number
        }
        self.term = term
        self._lease_ms = lease_ms

    def confirmed_ms(self, service: str) -> int:
        """Returns how long after the lease new work may go on."""
        promised = [self._confirmed, *self._unconfirmed.values()]
        return min(bounds.get(service, 0) for bounds in promised)

    def max_allowed_ms(
        self, service: str, now: clock.Millis, lease_until: clock.Millis
    ) -> clock.Millis:
        """Returns the longest time that a request may be allowed now."""
        remaining_ms = (
            lease_until + self.confirmed_ms(service) - now - CONNECT_MARGIN_MS
        )
        return slots.allowed_work_ms(remaining_ms)

    def require(
        self,
        service: str,
        now: clock.Millis,
        lease_until: clock.Millis,
        allowed_ms: clock.Millis,
    ) -> None:
        """Has the next polls promise what a request needs."""
        end = now + slots.work_bound_ms(allowed_ms) + CONNECT_MARGIN_MS
        if end <= lease_until:
            return
        after_ms = math.ceil((end - lease_until) / STEP_MS) * int(STEP_MS)
        requirement = self._requirements.setdefault(service, _Requirement())
        if requirement.until <= now:
            requirement.after_ms = 0
        requirement.after_ms = max(requirement.after_ms, after_ms)
        requirement.until = now + KEEP_MS

    def try_start(
        self, service: str, until: clock.Millis, lease_until: clock.Millis
    ) -> bool:
        """Notes work that is about to start; False where it may not."""
        if until > lease_until and (
            until > lease_until + self.confirmed_ms(service)
        ):
            return False
        requirement = self._requirements.setdefault(service, _Requirement())
        requirement.latest_end = max(requirement.latest_end, until)
        return True
