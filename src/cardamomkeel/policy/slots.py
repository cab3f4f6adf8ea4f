"""How much work one target may be given, and how much it has."""

import dataclasses

from cardamomkeel import clock

# Answers in a row before a target counts as warm; docs/settings.md.
DEFAULT_WARM_UP_REQUESTS = 20
# Clocks of two VMs may differ by this share, and a request or the end of its
# connection may be on its way for this long.
CLOCK_DRIFT_FACTOR = 1.05
TRANSIT_MS = 100.0


def work_bound_ms(allowed_ms: clock.Millis) -> clock.Millis:
    """Returns when work that was allowed some time has ended for certain."""
    return allowed_ms * CLOCK_DRIFT_FACTOR + TRANSIT_MS


def allowed_work_ms(bound_ms: clock.Millis) -> clock.Millis:
    """Returns the time to allow work that has to end within some time."""
    return (bound_ms - TRANSIT_MS) / CLOCK_DRIFT_FACTOR


@dataclasses.dataclass(eq=False)
class Work:
    """One request that was given to a target.

    Attributes:
        started: When it was given.
        until: When the target has ended it for certain.
        falls: How often the target had fallen to cold start by then.
        is_sent: Whether a byte of it may have left.
        is_over: Whether the target has ended it for certain.
        is_held: Whether only the end of the request is awaited.
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
        slots: How many requests the target runs when warm.
        cold_slots: How many it runs in cold start.
        warm_up_requests: How many requests it answers in a row, all given to
            it since its last fall, before it counts as warm.
        announced_cold: Whether it says itself that it is cold.
        limit: How many it may be given now.
        work: What it has been given and may still run.
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
    _residual: int = 0
    _residual_until: clock.Millis = float("-inf")
    # No held work ends before.
    _first_held_end: clock.Millis = float("inf")

    @property
    def in_flight(self) -> int:
        """How many requests it may still run."""
        return len(self.work)

    def inherit(self, residual: int, until: clock.Millis) -> None:
        """Counts work of an earlier owner as in flight until a time."""
        self._residual = residual
        self._residual_until = until

    def residual(self, now: clock.Millis) -> int:
        """Returns how many slots an earlier owner's work may take."""
        return self._residual if now < self._residual_until else 0

    def free(self, now: clock.Millis, may_be_cold: bool = False) -> int:
        """Returns how many more requests may be given now.

        Args:
            now: The time.
            may_be_cold: Whether the target may be in cold start.
        """
        self._drop_ended(now)
        limit = self.limit
        if may_be_cold:
            limit = min(limit, self.cold_slots)
        return max(0, limit - len(self.work) - self.residual(now))

    def _drop_ended(self, now: clock.Millis) -> None:
        if now < self._first_held_end:
            return
        self.work = [
            work for work in self.work if not work.is_held or work.until > now
        ]
        ends = [work.until for work in self.work if work.is_held]
        self._first_held_end = min(ends, default=float("inf"))

    def acquire(self, now: clock.Millis, allowed_ms: clock.Millis) -> Work:
        """Counts a request as given that may run for some time."""
        work = Work(now, now + work_bound_ms(allowed_ms), self._cold_starts)
        self.work.append(work)
        return work

    def release(self, work: Work) -> None:
        """Counts a request as ended."""
        if work in self.work:
            self.work.remove(work)

    def hold_until(self, work: Work, until: clock.Millis) -> None:
        """Counts a request as ended only from a time on."""
        work.is_held = True
        work.until = min(work.until, until)
        self._first_held_end = min(self._first_held_end, work.until)

    def oldest_age_ms(self, now: clock.Millis) -> clock.Millis:
        """Returns for how long the oldest request has not been answered."""
        # The work is in the order in which it was given.
        for work in self.work:
            if not work.is_held:
                return now - work.started
        return 0.0

    def remaining(self, now: clock.Millis) -> tuple[int, clock.Millis]:
        """Returns how many slots may be taken, and for how long at most."""
        self._drop_ended(now)
        residual = self.residual(now)
        ends = [work.until for work in self.work]
        if residual:
            ends.append(self._residual_until)
        return self.in_flight + residual, max([now, *ends]) - now

    def next_release(self, since: clock.Millis) -> clock.Millis:
        """Returns when a slot comes free without an answer, or infinity.

        Args:
            since: Ends up to this time do not count.
        """
        ends = [work.until for work in self.work if work.is_held]
        ends.append(self._residual_until)
        return min((end for end in ends if end > since), default=float("inf"))

    def can_free(self, until: clock.Millis) -> bool:
        """Tells whether a slot can come free before a time.

        The work of an earlier owner, and work of which only the end of its
        time tells that it is over, take their slots to that end; other work
        may end at any moment.
        """
        stuck = self._residual if self._residual_until > until else 0
        stuck += sum(w.is_held and w.until > until for w in self.work)
        return self.limit > stuck

    def resize(self, slots: int, cold_slots: int) -> None:
        """Takes over what the settings and the target say; never grows."""
        self.slots = slots
        self.cold_slots = cold_slots
        self.limit = min(self.limit, self.slots)

    def reset_to_cold_start(self) -> None:
        """Falls back to what a target in cold start can bear."""
        self.limit = min(self.cold_slots, self.slots)
        self._cold_starts += 1
        self._successes_in_a_row = 0
        self._required_successes = self.warm_up_requests

    def record_success(self, work: Work) -> None:
        """Raises the limit by one after as many successes as it wants.

        A request that was given before the last fall shows nothing of the
        target as it is now.
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
