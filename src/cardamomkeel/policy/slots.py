"""Counts the work of a target against its slots (concurrency limit)."""

import dataclasses

from cardamomkeel import clock

# Consecutive answers before a target counts as warm; see docs/settings.md.
DEFAULT_WARM_UP_REQUESTS = 20
# The clock rates of two VMs may differ by this factor.
CLOCK_DRIFT_FACTOR = 1.05
# A request or the close of its connection may be in transit for this long.
TRANSIT_MS = 100.0


def work_bound_ms(allowed_ms: clock.Millis) -> clock.Millis:
    """Returns the time after which work with a deadline has ended."""
    return allowed_ms * CLOCK_DRIFT_FACTOR + TRANSIT_MS


def allowed_work_ms(bound_ms: clock.Millis) -> clock.Millis:
    """Returns the deadline to give work that has to end within a bound."""
    return (bound_ms - TRANSIT_MS) / CLOCK_DRIFT_FACTOR


@dataclasses.dataclass(eq=False)
class Work:
    """One request that occupies a slot of a target.

    Attributes:
        started: When the slot was acquired.
        until: When the target has certainly ended the request.
        cold_starts: Number of cold starts of the target when it was sent.
        is_sent: Whether any byte of the request may have been sent.
        is_over: Whether the target has certainly ended the request.
        is_held: Whether the slot is held until `until`, with no answer awaited.
    """

    started: clock.Millis
    until: clock.Millis
    cold_starts: int
    is_sent: bool = False
    is_over: bool = False
    is_held: bool = False


@dataclasses.dataclass
class Slots:
    """The slots of one target, counted by its owner.

    Attributes:
        slots: Number of concurrent requests when the target is warm.
        cold_slots: Number of concurrent requests in cold start.
        warm_up_requests: Consecutive answers, to requests sent since the last
            cold start began, after which the target counts as warm.
        announced_cold: Whether the target has announced that it is cold.
        limit: Current limit of concurrent requests.
        work: Requests that the target may still run, oldest first.
    """

    slots: int
    cold_slots: int = 1
    warm_up_requests: int = DEFAULT_WARM_UP_REQUESTS
    announced_cold: bool = False
    limit: int = 1
    work: list[Work] = dataclasses.field(default_factory=list)
    _cold_starts: int = 0
    _successes_in_a_row: int = 0
    _required_successes: int = 0
    _inherited_slots: int = 0
    _inherited_until: clock.Millis = float("-inf")
    # No held work ends before this time.
    _first_held_end: clock.Millis = float("inf")

    @property
    def in_flight(self) -> int:
        """Number of requests that the target may still run."""
        return len(self.work)

    def inherit(self, number: int, until: clock.Millis) -> None:
        """Counts slots used by an earlier owner as occupied until a time."""
        self._inherited_slots = number
        self._inherited_until = until

    def inherited_slots(self, now: clock.Millis) -> int:
        """Returns how many slots requests of an earlier owner may occupy."""
        return self._inherited_slots if now < self._inherited_until else 0

    def free(self, now: clock.Millis, may_be_cold: bool = False) -> int:
        """Returns how many more requests may be sent now.

        Args:
            now: Current time.
            may_be_cold: Whether the target may be in cold start.
        """
        self._drop_ended(now)
        limit = self.limit
        if may_be_cold:
            limit = min(limit, self.cold_slots)
        return max(0, limit - len(self.work) - self.inherited_slots(now))

    def _drop_ended(self, now: clock.Millis) -> None:
        if now < self._first_held_end:
            return
        self.work = [
            work for work in self.work if not work.is_held or work.until > now
        ]
        ends = [work.until for work in self.work if work.is_held]
        self._first_held_end = min(ends, default=float("inf"))

    def acquire(self, now: clock.Millis, allowed_ms: clock.Millis) -> Work:
        """Occupies a slot for a request that is allowed some time."""
        work = Work(now, now + work_bound_ms(allowed_ms), self._cold_starts)
        self.work.append(work)
        return work

    def release(self, work: Work) -> None:
        """Frees the slot of a request."""
        if work in self.work:
            self.work.remove(work)

    def hold_until(self, work: Work, until: clock.Millis) -> None:
        """Keeps the slot of a request occupied until a time."""
        work.is_held = True
        work.until = min(work.until, until)
        self._first_held_end = min(self._first_held_end, work.until)

    def oldest_age_ms(self, now: clock.Millis) -> clock.Millis:
        """Returns the age of the oldest unanswered request."""
        for work in self.work:
            if not work.is_held:
                return now - work.started
        return 0.0

    def remaining(self, now: clock.Millis) -> tuple[int, clock.Millis]:
        """Returns how many slots may be occupied, and for how long at most."""
        self._drop_ended(now)
        inherited_slots = self.inherited_slots(now)
        ends = [work.until for work in self.work]
        if inherited_slots:
            ends.append(self._inherited_until)
        return self.in_flight + inherited_slots, max([now, *ends]) - now

    def next_release(self, since: clock.Millis) -> clock.Millis:
        """Returns when a held slot becomes free, or infinity.

        Args:
            since: Releases up to this time are ignored.
        """
        ends = [work.until for work in self.work if work.is_held]
        ends.append(self._inherited_until)
        return min((end for end in ends if end > since), default=float("inf"))

    def can_free(self, until: clock.Millis) -> bool:
        """Returns whether a slot can become free before a time.

        Requests of an earlier owner and held work occupy their slots until
        their time limit; other work may end at any moment.
        """
        occupied = self._inherited_slots if self._inherited_until > until else 0
        occupied += sum(w.is_held and w.until > until for w in self.work)
        return self.limit > occupied

    def resize(self, slots: int, cold_slots: int) -> None:
        """Applies a new number of slots; never raises the limit."""
        self.slots = slots
        self.cold_slots = cold_slots
        self.limit = min(self.limit, self.slots)

    def reset_to_cold_start(self) -> None:
        """Lowers the limit to the cold-start limit and restarts warm-up."""
        self.limit = min(self.cold_slots, self.slots)
        self._cold_starts += 1
        self._successes_in_a_row = 0
        self._required_successes = self.warm_up_requests

    def record_success(self, work: Work) -> None:
        """Raises the limit by one after the required number of successes.

        Requests sent before the last cold start began don't count.
        """
        if work.cold_starts != self._cold_starts or self.announced_cold:
            return
        self._successes_in_a_row += 1
        if (
            self.limit >= self.slots
            or self._successes_in_a_row < self._required_successes
        ):
            return
        self.limit += 1
        self._successes_in_a_row = 0
        self._required_successes = self.limit
