"""What the leader knows of the leases of entries."""

import dataclasses

from cardamomkeel import clock
from cardamomkeel.wire import control_pb2

# Clocks of two VMs may run this much apart.
CLOCK_DRIFT_FACTOR = 1.05


@dataclasses.dataclass
class Lease:
    """The lease of one session.

    Attributes:
        until: When it has run out for certain.
        version: The version of the state that the entry has confirmed.
        closing: Whether the session is being ended; no lease is given then.
        number: The number of the newest poll that counts.
        after_ms: How long work of the session may go on after the lease, by
            service, as that poll promised; None before the first promise.
    """

    until: clock.Millis
    version: int = 0
    is_closing: bool = False
    number: int = 0
    after_ms: dict[str, int] | None = None

    def record_bounds(self, number: int, after_ms: dict[str, int]) -> None:
        """Counts what a poll promised, unless a newer one was there first."""
        if number > self.number:
            self.number = number
            self.after_ms = after_ms


class Leases:
    """The leases that this leader gave, or that one before may have given."""

    def __init__(self, lease_ms: clock.Millis):
        self.lease_ms = lease_ms
        self._leases: dict[int, Lease] = {}

    def start(self, sessions: list[int], now: clock.Millis) -> None:
        """Begins a leadership: every session may hold a fresh lease."""
        self._leases = {
            session: Lease(until=now + self.lease_ms * CLOCK_DRIFT_FACTOR)
            for session in sessions
        }

    def grant(
        self, session: int, version: int, polled_at: clock.Millis
    ) -> bool:
        """Gives a lease that counts from when the entry asked.

        Args:
            session: The session.
            version: The version of the state that the entry has confirmed.
            polled_at: When the poll arrived.

        Returns:
            False where the session is being ended.
        """
        lease = self._leases.setdefault(session, Lease(until=polled_at))
        if lease.is_closing:
            return False
        lease.until = max(
            lease.until, polled_at + self.lease_ms * CLOCK_DRIFT_FACTOR
        )
        lease.version = max(lease.version, version)
        return True

    def close_expired(
        self, sessions: list[int], now: clock.Millis
    ) -> list[int]:
        """Marks and returns the sessions whose leases have run out."""
        expired = []
        for session in sessions:
            lease = self._leases.setdefault(
                session, Lease(until=now + self.lease_ms * CLOCK_DRIFT_FACTOR)
            )
            if lease.until <= now:
                lease.is_closing = True
                expired.append(session)
        return expired

    def record_bounds(self, req: control_pb2.PollRequest, term: int) -> None:
        """Counts what an entry promised with a poll that got a lease.

        Only a poll made after this leader has answered the entry counts: one
        that was on its way for long may promise less than what the entry has
        told another leader since.
        """
        if req.term == term:
            after_ms = {row.service: row.longest_ms for row in req.bounds}
            self._leases[req.session].record_bounds(req.number, after_ms)

    def get_work_after_lease(self, session: int) -> dict[str, int] | None:
        """Returns how long work may go on after a lease, or None if unknown.

        Services that are not listed have no work that goes on.
        """
        lease = self._leases.get(session)
        return None if lease is None else lease.after_ms

    def time_to_expiry_ms(
        self, now: clock.Millis, max_ms: clock.Millis
    ) -> clock.Millis:
        """Returns how long until a lease runs out, or the most to wait."""
        open_leases = (x for x in self._leases.values() if not x.is_closing)
        ends = [lease.until for lease in open_leases]
        return min(max(0.0, min(ends, default=now + max_ms) - now), max_ms)

    def retain(self, sessions: list[int]) -> None:
        """Drops what is known of sessions that have ended."""
        live = set(sessions)
        for gone in set(self._leases) - live:
            del self._leases[gone]

    def get_confirmed_version(self, session: int) -> int:
        """Returns the version that a session has confirmed."""
        lease = self._leases.get(session)
        return 0 if lease is None else lease.version

    def has_expired(self, session: int, now: clock.Millis) -> bool:
        """Tells whether a session's lease has run out for certain."""
        lease = self._leases.get(session)
        return lease is not None and lease.until <= now
