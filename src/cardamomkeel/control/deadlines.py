"""The longest deadlines that entries may still apply."""

from cardamomkeel import clock
from cardamomkeel.policy import slots
from cardamomkeel.state.commands import targets
from cardamomkeel.wire import control_pb2


class RecentDeadlines:
    """Keeps the longest deadlines of the current and the recent settings.

    A change of the settings takes effect at an entry within one lease, and a
    request accepted just before may run for the longest permitted deadline.
    Former deadlines therefore count for the sum of both times. A new leader
    does not know the former settings, so it returns no bounds for that time.

    Attributes:
        revision: The revision of the current settings.
    """

    def __init__(self, lease_ms: clock.Millis):
        longest_ms = slots.work_bound_ms(targets.LONGEST_DEADLINE_MS)
        self._window_ms = lease_ms * slots.CLOCK_DRIFT_FACTOR + longest_ms
        self.revision = 0
        self._longest: dict[str, int] = {}
        # Former deadlines, each with the time at which it no longer applies.
        self._former: list[tuple[clock.Millis, dict[str, int]]] = []
        self._complete_from = float("inf")

    def reset(self, now: clock.Millis) -> None:
        """Forgets former deadlines when this VM becomes the leader."""
        self._complete_from = now + self._window_ms
        self._former = []

    def update(
        self, revision: int, longest: dict[str, int], now: clock.Millis
    ) -> None:
        """Sets the longest deadlines of the current settings, by service."""
        self.revision = revision
        if longest == self._longest:
            return
        self._former.append((now + self._window_ms, self._longest))
        self._longest = longest

    def bounds(self, now: clock.Millis) -> list[control_pb2.WorkBound]:
        """Returns how long work may continue, by service.

        The list is empty while former settings may be unknown here.
        """
        if now < self._complete_from:
            return []
        self._former = [row for row in self._former if row[0] > now]
        return [
            control_pb2.WorkBound(
                service=service,
                longest_ms=self._get_longest_deadline_ms(service, longest_ms),
            )
            for service, longest_ms in self._longest.items()
        ]

    def make_expire_command(
        self,
        session: int,
        after_ms: dict[str, int] | None,
        owned: set[str],
        now: clock.Millis,
    ) -> control_pb2.Command:
        """Returns the command that ends a session.

        Args:
            session: The session.
            after_ms: How long its work may continue after its lease, by
                service, as reported by the entry; None if it reported nothing.
            owned: The services of its targets.
            now: The current time.
        """
        expire = control_pb2.EntryExpire(sessions=[session])
        if after_ms is None:
            expire.bounds.extend(self.bounds(now))
        else:
            expire.after_lease.extend(
                control_pb2.WorkBound(
                    service=service, longest_ms=after_ms.get(service, 0)
                )
                for service in sorted(owned)
            )
        return control_pb2.Command(entry_expire=expire)

    def _get_longest_deadline_ms(self, service: str, longest_ms: int) -> int:
        """Returns the longest deadline under current and recent settings."""
        earlier = [
            deadlines_ms.get(service, targets.LONGEST_DEADLINE_MS)
            for _, deadlines_ms in self._former
        ]
        return max([longest_ms, *earlier])
