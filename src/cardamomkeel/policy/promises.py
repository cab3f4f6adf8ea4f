"""Bounds how long work of an entry may continue after its lease ends.

With each poll, an entry promises how long its work may continue after the
lease that the poll grants. A request starts only if it ends within the lease
plus the promised time. When the entry is lost, new owners of its targets wait
no longer than that for its work.
"""

import dataclasses
import math

from cardamomkeel import clock
from cardamomkeel.policy import slots

# Promises are raised in steps of this size, so that few polls change them.
STEP_MS = 250.0
# A promise is kept for this time after a request last needed it.
KEEP_MS = 5000.0
# Time to open a connection after the deadline of a request was checked.
CONNECT_MARGIN_MS = 50.0

# How long in ms work may continue after the lease, by service. Services without
# an entry have no such work.
Bounds = dict[str, int]


@dataclasses.dataclass
class _Requirement:
    """What the requests to one service require.

    Attributes:
        after_ms: How long after the lease they need to run.
        until: When this requirement expires.
        latest_end: When all work started so far has certainly ended.
    """

    after_ms: int = 0
    until: clock.Millis = float("-inf")
    latest_end: clock.Millis = float("-inf")


class Promises:
    """Promises of one entry, and the work that they allow.

    A lowered promise is binding once it is sent, since the leader may have
    received it even if its reply is lost. A raised promise is used only once
    the leader has confirmed it.

    Attributes:
        number: Number of the newest poll.
        term: Term of the leader that replied last.
    """

    def __init__(self):
        self.number = 0
        self.term = 0
        self._lease_ms = 0.0
        self._requirements: dict[str, _Requirement] = {}
        self._confirmed: Bounds = {}
        # Promises sent but not yet confirmed, by poll number.
        self._unconfirmed: dict[int, Bounds] = {}

    def send(self, now: clock.Millis, is_fresh: bool) -> Bounds:
        """Returns the promises of the next poll, which are binding from now on.

        Args:
            now: Start of the lease that the poll grants.
            is_fresh: Whether the entry holds a lease. Without one it starts no
                work before the next poll is confirmed.
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
            started_ms = max(0.0, requirement.latest_end - lease_until)
            after_ms = max(math.ceil(started_ms), requirement.after_ms)
            if after_ms:
                bounds[service] = after_ms
        self.number += 1
        self._unconfirmed[self.number] = bounds
        return bounds

    def confirm(self, number: int, term: int, lease_ms: clock.Millis) -> None:
        """Handles the reply to a poll.

        Args:
            number: Number of the poll.
            term: Term of the leader that replied.
            lease_ms: Length of the lease, counted from the request.
        """
        if number not in self._unconfirmed:
            return
        self._confirmed = self._unconfirmed[number]
        self._unconfirmed = {
            n: b for n, b in self._unconfirmed.items() if n > number
        }
        self.term = term
        self._lease_ms = lease_ms

    def min_promised_ms(self, service: str) -> int:
        """Returns how long after the lease new work may continue, in ms.

        The lowest promise counts, since it isn't known which promise the leader
        received last.
        """
        promised = [self._confirmed, *self._unconfirmed.values()]
        return min(bounds.get(service, 0) for bounds in promised)

    def max_allowed_ms(
        self, service: str, now: clock.Millis, lease_until: clock.Millis
    ) -> clock.Millis:
        """Returns the longest time that a request may be allowed now."""
        remaining_ms = (
            lease_until
            + self.min_promised_ms(service)
            - now
            - CONNECT_MARGIN_MS
        )
        return slots.allowed_work_ms(remaining_ms)

    def require(
        self,
        service: str,
        now: clock.Millis,
        lease_until: clock.Millis,
        allowed_ms: clock.Millis,
    ) -> None:
        """Requires the next polls to promise the time that a request needs."""
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
        """Records work about to start; returns False if it must not start."""
        if until > lease_until and (
            until > lease_until + self.min_promised_ms(service)
        ):
            return False
        requirement = self._requirements.setdefault(service, _Requirement())
        requirement.latest_end = max(requirement.latest_end, until)
        return True
