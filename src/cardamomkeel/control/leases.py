"""What the leader knows of the leases of entries."""

import dataclasses

from cardamomkeel import clock
from cardamomkeel.wire import control_pb2

# Clocks of two VMs may run this much apart.
DRIFT = 1.05


@dataclasses.dataclass
class Lease:
    """The lease of one session.

    Attributes:
        until: When it has run out for certain.
        version: The version of the state that the entry has confirmed.
        closing: Whether the session is being ended; no lease is given then.
        number: The newest poll whose bounds were taken.
        bounds: The longest work, by service, that the session gives; None
            where this leader was not told.
    """

    until: clock.Millis
    version: int = 0
    closing: bool = False
    number: int = 0
    bounds: list[control_pb2.WorkBound] | None = None


class Leases:
    """The leases that this leader gave, or that one before may have given."""

    def __init__(self, lease_ms: clock.Millis):
        self.lease_ms = lease_ms
        self._leases: dict[int, Lease] = {}
        self._started = float("-inf")

    def start(self, sessions: list[int], now: clock.Millis) -> None:
        """Begins a leadership: every session may hold a fresh lease."""
        self._started = now
        self._leases = {
            session: Lease(until=now + self.lease_ms * DRIFT)
            for session in sessions
        }

    def grant(self, poll: control_pb2.PollRequest, now: clock.Millis) -> bool:
        """Gives a lease that counts from when the entry asked.

        Returns:
            False where the session is being ended.
        """
        lease = self._leases.setdefault(poll.session, Lease(until=now))
        if lease.closing:
            return False
        lease.until = now + self.lease_ms * DRIFT
        lease.version = max(lease.version, poll.version)
        # A poll may be late: one before may have told another leader, or
        # this one through another control VM, something newer.
        is_own = now - poll.age_ms >= self._started
        if is_own and poll.number > lease.number:
            lease.number = poll.number
            lease.bounds = list(poll.bounds)
        return True

    def close_expired(
        self, sessions: list[int], now: clock.Millis
    ) -> list[int]:
        """Marks and returns the sessions whose leases have run out."""
        expired = []
        for session in sessions:
            lease = self._leases.setdefault(
                session, Lease(until=now + self.lease_ms * DRIFT)
            )
            if lease.until <= now:
                lease.closing = True
                expired.append(session)
        return expired

    def forget_all_but(self, sessions: list[int]) -> None:
        """Drops what is known of sessions that have ended."""
        live = set(sessions)
        for gone in set(self._leases) - live:
            del self._leases[gone]

    def version(self, session: int) -> int:
        """Returns the version that a session has confirmed."""
        lease = self._leases.get(session)
        return 0 if lease is None else lease.version

    def bounds(self, session: int) -> list[control_pb2.WorkBound] | None:
        """Returns the longest work of a session; None for the longest."""
        lease = self._leases.get(session)
        return None if lease is None else lease.bounds

    def is_over(self, session: int, now: clock.Millis) -> bool:
        """Tells whether a session's lease has run out for certain."""
        lease = self._leases.get(session)
        return lease is not None and lease.until <= now
