"""The state of one target: load, cold start, failures and work time."""

import asyncio
import dataclasses

from cardamomkeel import clock
from cardamomkeel.policy import cold_start_rate
from cardamomkeel.policy import push_back
from cardamomkeel.policy import saturation
from cardamomkeel.policy import work_time
from cardamomkeel.wire import control_pb2

# Weights of a new answer in the moving averages.
LATENCY_SHARE = 0.15
FAILURE_SHARE = 0.3
# Half-life of the slowdown and the failures of a target. They decay so that the
# target is tried again.
HALF_LIFE_MS = 2000.0
# Upper bound of the slowdown of a target, relative to its service.
MAX_SLOWDOWN_FACTOR = 10.0
# Lower bound of the slowdown that one answer shows.
MIN_SLOWDOWN_FACTOR = 0.2
# How long an unreachable target gets no requests: doubles from the minimum to
# the maximum.
MIN_DOWN_MS = 200.0
MAX_DOWN_MS = 1600.0
# The weight of a reported load decreases to 0 in this time.
LOAD_TTL_MS = 300.0
# How long a reported load is fresh. Load changes within some hundred
# milliseconds.
LOAD_FRESH_MS = 25.0
# How long a reported slowdown is used.
SLOWDOWN_TTL_MS = 100.0


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """The load that a target reported.

    Attributes:
        running: Number of running requests.
        waiting: Number of waiting requests.
        slots: How many requests it runs at a time; 0 if not reported.
        slowdown: Work time as a multiple of the usual one.
    """

    running: int
    waiting: int
    slots: int = 0
    slowdown: float = 1.0


def parse_load(value: bytes) -> Load | None:
    """Parses a load header; returns None if it is malformed.

    Args:
        value: Running and waiting requests, then optionally slots and the work
            time in percent of the usual one, separated by commas.
    """
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
    """One instance of a backend server and what this entry knows of it.

    Attributes:
        record: The newest announcement of this instance.
        address: Host and port.
        data_centre: The data centre in which it runs.
        slots: How many requests it runs at a time.
        service: The service that it serves.
        software: The version of its software.
        near: Whether it is in the data centre of this entry.
        is_out: Whether operators have taken it out of service.
        is_leaving: Whether it has said that it stops soon.
        push_back: Its hold and its return, if it has pushed back.
        is_preferred: Whether this entry prefers it to other targets.
        rank_key: Orders targets to pick those that this entry prefers.
        running: Number of requests of this entry that it runs.
        cold_until: When its cold start ends, on the local clock.
        suspected_at: When this entry last saw a sign of a restart.
        suspected_until: Until when it is treated as in cold start after such a
            sign.
        bucket: Limits the rate of requests in cold start; None outside of it.
        reports_load: Whether its answers report its load; None before the
            first answer.
        pending_probe: The last load probe. Selections share a probe that is not
            answered yet.
        answer_count: Number of requests of this entry that it answered.
        failure_count: Number of requests of this entry that it failed.
        failed_at: When it last failed one.
    """

    def __init__(
        self,
        record: control_pb2.InstanceRecord,
        own_data_centre: str,
        service_saturation: saturation.SaturationSlowdown,
        rank_key: bytes,
        now: clock.Millis,
    ):
        self.rank_key = rank_key
        self._own_data_centre = own_data_centre
        self.is_out = False
        self.is_leaving = False
        self.push_back: push_back.PushBack | None = None
        self.is_preferred = True
        self.update(record)
        self.running = 0
        self.cold_until = float("-inf")
        self.suspected_at = float("-inf")
        self.suspected_until = float("-inf")
        self.bucket: cold_start_rate.TokenBucket | None = None
        self._saturation = service_saturation
        self._slowdown = 1.0
        self._failures = 0.0
        self._learned_at = now
        self._down_until = float("-inf")
        self._down_ms = 0.0
        self._load: Load | None = None
        self._load_at = float("-inf")
        self._running_at_load = 0
        self.reports_load: bool | None = None
        self.pending_probe: asyncio.Future | None = None
        self.answer_count = 0
        self.failure_count = 0
        self.failed_at = float("-inf")

    def update(self, record: control_pb2.InstanceRecord) -> None:
        """Stores a newer announcement of the same start."""
        self.record = record
        # These fields are copied, since each request reads them for every
        # target, and reading fields of a protocol buffer is slow.
        self.address = record.address
        self.data_centre = record.data_centre
        self.slots = max(1, record.slots)
        self.near = record.data_centre == self._own_data_centre
        self.service = record.service
        self.software = record.software

    @property
    def incarnation(self) -> tuple[str, str, int]:
        """What tells this start of the server from all others."""
        record = self.record
        return record.address, record.instance, record.born_ms

    def held_ms(self, now: clock.Millis) -> clock.Millis:
        """Returns how much longer it gets no requests since it pushed back."""
        if self.push_back is None:
            return 0.0
        return max(0.0, self.push_back.held_until - now)

    def may_take_more(self, now: clock.Millis) -> bool:
        """Returns whether neither its leaving nor a hold forbids a request."""
        if self.is_leaving:
            return False
        return self.push_back is None or self.push_back.allows(
            self.running, now
        )

    def note_push_back(self, until: clock.Millis) -> None:
        """Records that it wants no requests until some time."""
        if self.push_back is None:
            self.push_back = push_back.PushBack(until)
        else:
            self.push_back.extend(until)

    def note_return(self, sent_at: clock.Millis) -> None:
        """Records an answer to a request that was sent at some time."""
        if self.push_back is None:
            return
        self.push_back.record_answer(sent_at)
        if self.push_back.has_recovered():
            self.push_back = None

    def _decay_factor(self, now: clock.Millis) -> float:
        return 0.5 ** ((now - self._learned_at) / HALF_LIFE_MS)

    def failures(self, now: clock.Millis) -> float:
        """Returns the moving average of the share of failed requests."""
        return self._failures * self._decay_factor(now)

    def slowdown(self, now: clock.Millis) -> float:
        """Returns the work time as a multiple of that of the service."""
        return 1 + (self._slowdown - 1) * self._decay_factor(now)

    def is_down(self, now: clock.Millis) -> bool:
        """Returns whether the target gets no requests as it was unreachable."""
        return now < self._down_until

    def was_down(self) -> bool:
        """Returns whether the target has not answered since it was down."""
        return self._down_ms > 0

    def is_cold(self, now: clock.Millis) -> bool:
        """Returns whether the target is, or may be, in cold start."""
        return now < max(self.cold_until, self.suspected_until)

    def is_suspected(self, now: clock.Millis) -> bool:
        """Returns whether a cold start of the target is only suspected.

        A probe would show whether the target is in cold start.
        """
        return self.cold_until <= now < self.suspected_until

    def estimate_running(self, others: int, now: clock.Millis) -> float:
        """Returns the estimated number of requests that the target runs.

        Args:
            others: Running requests of the peers of this entry.
            now: The time.
        """
        known = self.running + others
        if self._load is None or now - self._load_at > LOAD_TTL_MS:
            return known
        weight = 1 - (now - self._load_at) / LOAD_TTL_MS
        reported = self._load.running + self._load.waiting
        # Add the change in this entry's running requests since the target
        # reported its load.
        reported += self.running - self._running_at_load
        return max(known, reported * weight)

    def has_fresh_load(self, now: clock.Millis) -> bool:
        """Returns whether the reported load is recent enough to rely on."""
        return now - self._load_at <= LOAD_FRESH_MS

    def has_reported_idle(self, since: clock.Millis) -> bool:
        """Returns whether it has reported no request at all since some time."""
        return (
            self._load is not None
            and self._load_at >= since
            and not self._load.running
            and not self._load.waiting
        )

    def reported_slowdown(self, now: clock.Millis) -> float:
        """Returns the reported work time, as a multiple of the usual one.

        An old report counts as 1.
        """
        if self._load is None or now - self._load_at > SLOWDOWN_TTL_MS:
            return 1.0
        return self._load.slowdown

    def note_answer(
        self,
        work: work_time.WorkTime,
        took_ms: clock.Millis,
        slowdown: float,
        crowded: bool,
        now: clock.Millis,
    ) -> None:
        """Records an answer of the target.

        Args:
            work: The estimated work time of its route, which is updated.
            took_ms: How long the answer took.
            slowdown: The slowdown that the target had reported when the
                request was sent.
            crowded: Whether the target was nearly full when the request was
                sent.
            now: The time.
        """
        expected = work.expect_ms()
        took_ms /= max(1.0, slowdown)
        if crowded and work.is_known():
            self._saturation.record(took_ms, expected, now)
            took_ms /= self._saturation.factor(now)
        else:
            work.record(took_ms)
        ratio = min(
            MAX_SLOWDOWN_FACTOR, max(MIN_SLOWDOWN_FACTOR, took_ms / expected)
        )
        slowdown = self.slowdown(now)
        self.answer_count += 1
        self._failures = self.failures(now) * (1 - FAILURE_SHARE)
        self._slowdown = slowdown + LATENCY_SHARE * (ratio - slowdown)
        self._learned_at = now
        self._down_ms = 0.0

    def note_failure(self, now: clock.Millis) -> None:
        """Records a failed request."""
        self.failure_count += 1
        self.failed_at = now
        slowdown = self.slowdown(now)
        before = self.failures(now)
        self._failures = before + FAILURE_SHARE * (1 - before)
        self._slowdown = slowdown
        self._learned_at = now

    def note_peer_results(
        self, answers: int, failures: int, now: clock.Millis
    ) -> None:
        """Records requests of another entry that it answered or failed."""
        slowdown = self.slowdown(now)
        share = self.failures(now) * (1 - FAILURE_SHARE) ** answers
        self._failures = 1 - (1 - share) * (1 - FAILURE_SHARE) ** failures
        self._slowdown = slowdown
        self._learned_at = now

    def note_late(
        self,
        work: work_time.WorkTime,
        waited_ms: clock.Millis,
        now: clock.Millis,
    ) -> None:
        """Records that an answer has not been received yet.

        Args:
            work: The estimated work time of its route.
            waited_ms: How long ago the request was sent.
            now: The time.
        """
        ratio = min(MAX_SLOWDOWN_FACTOR, waited_ms / work.expect_ms())
        self._slowdown = max(self.slowdown(now), ratio)
        self._failures = self.failures(now)
        self._learned_at = now

    def note_down(self, now: clock.Millis) -> None:
        """Records that the target is unreachable: it is down for a while."""
        if self.is_down(now):
            return
        doubled = max(MIN_DOWN_MS, 2 * self._down_ms)
        self._down_ms = min(MAX_DOWN_MS, doubled)
        self._down_until = now + self._down_ms

    def note_unresponsive(self, now: clock.Millis) -> None:
        """Records that a load probe was not answered."""
        self.note_failure(now)
        self.note_down(now)

    def note_load(self, load: Load, now: clock.Millis) -> None:
        """Records the load that the target reported.

        The load in an answer includes the request of that answer.
        """
        self.reports_load = True
        self._load = load
        self._load_at = now
        self._running_at_load = self.running

    def note_no_load(self) -> None:
        """Records an answer that reports no load."""
        if self.reports_load is None:
            self.reports_load = False
