"""One backend server as an entry sees it."""

import asyncio
import dataclasses

from cardamomkeel import clock
from cardamomkeel.policy import cold_rate
from cardamomkeel.policy import work_time
from cardamomkeel.wire import control_pb2

# How fast averages follow what is measured, per answer.
LATENCY_SHARE = 0.15
FAILURE_SHARE = 0.3
# What was learned of a slow or failing target halves in this time unused, so
# that it is tried again.
HALF_LIFE_MS = 2000.0
# How much slower than its service one target may count at the most.
MAX_SLOWDOWN_FACTOR = 10.0
# How much faster than its service one answer may count at the most.
MIN_SLOWDOWN_FACTOR = 0.2
# How long an unreachable target is left alone, doubling up to the second.
MIN_DOWN_MS = 200.0
MAX_DOWN_MS = 1600.0
# What a target says of its load is worth something for so long.
LOAD_TTL_MS = 300.0
# Load shifts within some hundred milliseconds: what was said in the last of
# these is relied on, and a slow target counts as slow for the second.
LOAD_FRESH_MS = 25.0
SLOWDOWN_TTL_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """How busy a target said it was.

    Attributes:
        running: Requests that ran.
        waiting: Requests that waited.
        slots: Requests that it runs at a time; 0 where it did not say.
        slowdown: How long work takes there as a share of the usual.
    """

    running: int
    waiting: int
    slots: int = 0
    slowdown: float = 1.0


def parse_load(value: bytes) -> Load | None:
    """Reads running, waiting, slots and percent of the usual work time."""
    try:
        parts = [int(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(parts) < 2 or min(parts) < 0:
        return None
    slots = parts[2] if len(parts) > 2 else 0
    slowdown = parts[3] / 100 if len(parts) > 3 and parts[3] else 1.0
    return Load(parts[0], parts[1], slots, slowdown)


class Target:
    """One start of a backend server, as this entry sees it.

    Attributes:
        record: What it announced.
        address: Host and port.
        data_centre: Where it runs.
        slots: How many requests it runs at a time.
        near: Whether it is in the data centre of this entry.
        is_out: Whether operators have taken it out of service.
        is_familiar: Whether this entry turns to it as a rule.
        rank_key: Where it stands among those that this entry turns to.
        running: How many requests of this entry run there.
        cold_until: When its cold start ends, on the local clock.
        suspected_at: When something last told that it may have started anew.
        suspected_until: Until when it counts as in cold start for that.
    """

    def __init__(
        self,
        record: control_pb2.InstanceRecord,
        own_data_centre: str,
        work: work_time.WorkTime,
        rank_key: bytes,
        now: clock.Millis,
    ):
        self.rank_key = rank_key
        self._own_data_centre = own_data_centre
        self.is_out = False
        self.is_familiar = True
        self.update(record)
        self.running = 0
        self.cold_until = float("-inf")
        self.suspected_at = float("-inf")
        self.suspected_until = float("-inf")
        self.bucket: cold_rate.Bucket | None = None
        self._work = work
        self._slowdown = 1.0
        self._failures = 0.0
        self._learned_at = now
        self._down_until = float("-inf")
        self._down_ms = 0.0
        self._load: Load | None = None
        self._load_at = float("-inf")
        self._running_at_load = 0
        # Whether its answers tell its load; None before the first.
        self.reports_load: bool | None = None
        # What it told is not asked for twice at the same time.
        self.pending_probe: asyncio.Future | None = None

    def update(self, record: control_pb2.InstanceRecord) -> None:
        """Takes over what it announced last."""
        self.record = record
        # Each request reads these of every target; a row is slow to read.
        self.address = record.address
        self.data_centre = record.data_centre
        self.slots = max(1, record.slots)
        self.near = record.data_centre == self._own_data_centre

    def _decay_factor(self, now: clock.Millis) -> float:
        return 0.5 ** ((now - self._learned_at) / HALF_LIFE_MS)

    def failures(self, now: clock.Millis) -> float:
        """Returns the share of requests that failed lately."""
        return self._failures * self._decay_factor(now)

    def slowdown(self, now: clock.Millis) -> float:
        """Returns how long work takes as a multiple of the service's mean."""
        return 1 + (self._slowdown - 1) * self._decay_factor(now)

    def is_down(self, now: clock.Millis) -> bool:
        """Tells whether it was unreachable a moment ago."""
        return now < self._down_until

    def was_down(self) -> bool:
        """Tells whether it has not answered since it was unreachable."""
        return self._down_ms > 0

    def is_cold(self, now: clock.Millis) -> bool:
        """Tells whether it is in cold start, or may be."""
        return now < max(self.cold_until, self.suspected_until)

    def is_suspected(self, now: clock.Millis) -> bool:
        """Tells whether it may be in cold start, and can say so itself."""
        return self.cold_until <= now < self.suspected_until

    def estimate_running(self, others: int, now: clock.Millis) -> float:
        """Returns how many requests run there.

        Args:
            others: Requests of the entries near this one.
            now: The time.
        """
        known = self.running + others
        if self._load is None or now - self._load_at > LOAD_TTL_MS:
            return known
        remaining = 1 - (now - self._load_at) / LOAD_TTL_MS
        reported = self._load.running + self._load.waiting
        # What this entry has sent since, or got an answer to, is known.
        reported += self.running - self._running_at_load
        return max(known, reported * remaining)

    def has_fresh_load(self, now: clock.Millis) -> bool:
        """Tells whether it said a moment ago how busy it is."""
        return now - self._load_at <= LOAD_FRESH_MS

    def reported_slowdown(self, now: clock.Millis) -> float:
        """Returns what it said last of how long work takes there now."""
        if self._load is None or now - self._load_at > SLOWDOWN_TTL_MS:
            return 1.0
        return self._load.slowdown

    def work_ms(self, now: clock.Millis) -> clock.Millis:
        """Returns how long a request is expected to take there."""
        return (
            self._work.expect_ms()
            * self.slowdown(now)
            * self.reported_slowdown(now)
        )

    def note_answer(
        self,
        took_ms: clock.Millis,
        slowdown: float,
        crowded: bool,
        now: clock.Millis,
    ) -> None:
        """Counts an answer of the target's own.

        Args:
            took_ms: How long it took.
            slowdown: What it had said of how long work takes, when it was sent.
            crowded: Whether it was nearly full then.
            now: The time.
        """
        expected = self._work.expect_ms()
        took_ms /= max(1.0, slowdown)
        if crowded and self._work.is_known():
            self._work.crowding.note(took_ms, expected, now)
            took_ms /= self._work.crowding.factor(now)
        else:
            self._work.note(took_ms)
        ratio = min(
            MAX_SLOWDOWN_FACTOR, max(MIN_SLOWDOWN_FACTOR, took_ms / expected)
        )
        slowdown = self.slowdown(now)
        self._failures = self.failures(now) * (1 - FAILURE_SHARE)
        self._slowdown = slowdown + LATENCY_SHARE * (ratio - slowdown)
        self._learned_at = now
        self._down_ms = 0.0

    def note_failure(self, now: clock.Millis) -> None:
        """Counts a request that failed there."""
        slowdown = self.slowdown(now)
        before = self.failures(now)
        self._failures = before + FAILURE_SHARE * (1 - before)
        self._slowdown = slowdown
        self._learned_at = now

    def note_late(self, waited_ms: clock.Millis, now: clock.Millis) -> None:
        """Counts an answer that has not come yet."""
        ratio = min(MAX_SLOWDOWN_FACTOR, waited_ms / self._work.expect_ms())
        self._slowdown = max(self.slowdown(now), ratio)
        self._failures = self.failures(now)
        self._learned_at = now

    def note_down(self, now: clock.Millis) -> None:
        """Leaves an unreachable target alone for a while."""
        if self.is_down(now):
            return
        doubled = max(MIN_DOWN_MS, 2 * self._down_ms)
        self._down_ms = min(MAX_DOWN_MS, doubled)
        self._down_until = now + self._down_ms

    def note_unresponsive(self, now: clock.Millis) -> None:
        """Leaves a target alone that does not say how busy it is."""
        self.note_failure(now)
        self.note_down(now)

    def note_load(self, load: Load, now: clock.Millis) -> None:
        """Takes what the target said of its load.

        What it says with an answer counts the request that it answers.
        """
        self.reports_load = True
        self._load = load
        self._load_at = now
        self._running_at_load = self.running

    def note_no_load(self) -> None:
        """Counts an answer that says nothing of load."""
        if self.reports_load is None:
            self.reports_load = False
