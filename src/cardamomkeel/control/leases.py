"""The leader's record of the leases that entries hold."""

import dataclasses

from cardamomkeel import clock
from cardamomkeel.wire import control_pb2

# The clock of one VM may run faster than that of another by this factor.
CLOCK_DRIFT_FACTOR = 1.05


@dataclasses.dataclass
class Lease:
    """The lease of one session.

    Attributes:
        until: When the lease has expired, clock drift included.
        version: The version of the state that the entry has confirmed.
        is_closing: Whether the session is being ended; no lease is granted
            then.
        number: The number of the poll that sent `after_ms`; bounds of polls
            with lower numbers are ignored.
        after_ms: How long work of the session may continue after the lease, by
            service; None before the first bounds.
    """

    until: clock.Millis
    version: int = 0
    is_closing: bool = False
    number: int = 0
    after_ms: dict[str, int] | None = None

    def record_bounds(self, number: int, after_ms: dict[str, int]) -> None:
        """Stores the bounds of a poll unless a newer poll sent some already."""
        if number > self.number:
            self.number = number
            self.after_ms = after_ms


class Leases:
    """The leases that this leader or an earlier one may have granted."""

    def __init__(self, lease_ms: clock.Millis):
        self.lease_ms = lease_ms
        self._leases: dict[int, Lease] = {}

    def start(self, sessions: list[int], now: clock.Millis) -> None:
        """Initializes the leases of a new leader.

        Each session may have a lease that the former leader granted just now.
        """
        self._leases = {
            session: Lease(until=now + self.lease_ms * CLOCK_DRIFT_FACTOR)
            for session in sessions
        }

    def grant(
        self, session: int, version: int, polled_at: clock.Millis
    ) -> bool:
        """Grants a lease that starts when the entry's poll arrived.

        Args:
            session: The session.
            version: The version of the state that the entry has confirmed.
            polled_at: When the poll reached the first process of the group or
                a relaying entry.

        Returns:
            False if the session is being ended.
        """
        lease = self._leases.setdefault(session, Lease(until=polled_at))
        if lease.is_closing:
            return False
        lease.until = max(
            lease.until, polled_at + self.lease_ms * CLOCK_DRIFT_FACTOR
        )
        lease.version = max(lease.version, version)
        return True

    def mark_expired_as_closing(
        self, sessions: list[int], now: clock.Millis
    ) -> list[int]:
        """Marks expired leases as closing and returns their sessions.

        A session without a lease gets a new one.
        """
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
        """Stores the bounds of a poll that was granted a lease.

        Bounds of an entry that has no answer of this leader yet are ignored: a
        delayed poll may state shorter bounds than the entry has sent to another
        leader since.
        """
        if req.term == term:
            after_ms = {row.service: row.longest_ms for row in req.bounds}
            self._leases[req.session].record_bounds(req.number, after_ms)

    def get_work_after_lease(self, session: int) -> dict[str, int] | None:
        """Returns how long work may continue after a lease; None if unknown.

        No work of a service that is not listed continues.
        """
        lease = self._leases.get(session)
        return None if lease is None else lease.after_ms

    def time_to_expiry_ms(
        self, now: clock.Millis, max_ms: clock.Millis
    ) -> clock.Millis:
        """Returns the time until the next lease expires, `max_ms` at most."""
        open_leases = (x for x in self._leases.values() if not x.is_closing)
        ends = [lease.until for lease in open_leases]
        return min(max(0.0, min(ends, default=now + max_ms) - now), max_ms)

    def retain(self, sessions: list[int]) -> None:
        """Removes the leases of all other sessions."""
        live = set(sessions)
        for session in set(self._leases) - live:
            del self._leases[session]

    def get_confirmed_version(self, session: int) -> int:
        """Returns the version that a session has confirmed."""
        lease = self._leases.get(session)
        return 0 if lease is None else lease.version

    def has_expired(self, session: int, now: clock.Millis) -> bool:
        """Returns whether a lease has expired, clock drift included."""
        lease = self._leases.get(session)
        return lease is not None and lease.until <= now
