"""Selects the target that an owner sends the next request to."""

import dataclasses
import math
import random

from cardamomkeel import clock
from cardamomkeel.policy import slots

# Smoothing factors of the exponential moving averages.
LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.2
# Added cost of a target that fails every request, as a multiple of its latency.
FAILURE_COST = 10.0
# From this many consecutive failures on, a target is probed with one request at
# a time.
FAILING_FROM_FAILURES = 3
# Bounds of the pause before a probe, which doubles with each further failure.
MIN_PROBE_PAUSE_MS = 50.0
MAX_PROBE_PAUSE_MS = 1000.0
# Time constant of the exponential decay of what is known about a target.
DECAY_MS = 1000.0
# Lower bound of the latency, so that costs are not zero.
MIN_LATENCY_MS = 0.1
# A target that has not answered for this long may be in cold start.
MIN_UNRESPONSIVE_MS = 1000.0
# A request is stalled once its age exceeds this multiple of the usual latency.
STALL_FACTOR = 10.0
# A younger request is never stalled.
MIN_STALL_MS = 100.0
# A timeout counts as a failure of the target only if the request had at least
# this multiple of the usual latency.
MIN_TIMEOUT_FACTOR = 3.0


@dataclasses.dataclass
class Health:
    """Recent latency and failures of a target.

    Attributes:
        latency_ms: Moving average of the latency of its answers; 0 if unknown.
        failures: Moving average of the share of failed requests.
        failed_in_a_row: Number of failures since the last success.
        last_result_at: When the last request ended.
        last_answer_at: When the last answer, including errors, was received.
    """

    latency_ms: clock.Millis = 0.0
    failures: float = 0.0
    failed_in_a_row: int = 0
    last_result_at: clock.Millis = float("-inf")
    last_answer_at: clock.Millis = float("-inf")

    def record_result(
        self, latency_ms: clock.Millis, failed: bool, now: clock.Millis
    ) -> None:
        """Updates the averages with the result of a request."""
        share = 1.0 if failed else 0.0
        self.failures += FAILURE_WEIGHT * (share - self.failures)
        self.last_result_at = now
        if failed:
            self.failed_in_a_row += 1
            return
        if self.is_failing():
            # The target has recovered: earlier failures say little about it.
            self.failures = min(self.failures, FAILURE_WEIGHT)
        self.failed_in_a_row = 0
        self.record_answer(now)
        if self.latency_ms == 0.0:
            self.latency_ms = latency_ms
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def record_answer(self, now: clock.Millis) -> None:
        """Records that the target has answered."""
        self.last_answer_at = now

    def recent_latency(self, now: clock.Millis) -> clock.Millis:
        """Returns the average latency, or 0 if it is out of date."""
        return self.latency_ms if now - self.last_result_at < DECAY_MS else 0.0

    def is_timeout_significant(self, elapsed_ms: clock.Millis) -> bool:
        """Returns whether a timed-out request had time to be answered."""
        return elapsed_ms >= MIN_TIMEOUT_FACTOR * self.latency_ms

    def is_failing(self) -> bool:
        """Returns whether too many consecutive requests have failed."""
        return self.failed_in_a_row >= FAILING_FROM_FAILURES

    def probe_at(self) -> clock.Millis:
        """Returns when a failing target may be probed again."""
        extra_failures = min(self.failed_in_a_row - FAILING_FROM_FAILURES, 10)
        pause_ms = min(
            MAX_PROBE_PAUSE_MS, MIN_PROBE_PAUSE_MS * 2**extra_failures
        )
        return self.last_result_at + pause_ms

    def is_stalled(self, oldest_ms: clock.Millis) -> bool:
        """Returns whether the oldest request is stalled."""
        if self.latency_ms == 0.0:
            return False
        usual_ms = STALL_FACTOR * self.latency_ms
        return oldest_ms > max(usual_ms, MIN_STALL_MS)

    def is_unresponsive(self, now: clock.Millis) -> bool:
        """Returns whether the target has not answered for too long."""
        usual_ms = STALL_FACTOR * self.latency_ms
        return now - self.last_answer_at > max(usual_ms, MIN_UNRESPONSIVE_MS)

    def cost(
        self,
        in_flight: int,
        typical_ms: clock.Millis,
        oldest_ms: clock.Millis,
        now: clock.Millis,
    ) -> float:
        """Returns the expected cost of one more request, in milliseconds.

        Args:
            in_flight: Number of requests in flight to the target.
            typical_ms: Latency to assume if the latency is unknown or old.
            oldest_ms: Age of the oldest unanswered request.
            now: Current time.
        """
        weight = math.exp(-(now - self.last_result_at) / DECAY_MS)
        usual_ms = typical_ms
        if self.latency_ms:
            usual_ms += weight * (self.latency_ms - typical_ms)
        latency_ms = max(usual_ms, oldest_ms, MIN_LATENCY_MS)
        failure_cost = 1 + FAILURE_COST * self.failures * weight
        return latency_ms * (in_flight + 1) * failure_cost


@dataclasses.dataclass
class Candidate:
    """A target that can be selected, with its slots and health."""

    address: str
    slots: slots.Slots
    health: Health

    def free(self, now: clock.Millis) -> int:
        """Returns how many more requests may be sent to the target now."""
        if not self.slots.work:
            return self.slots.free(now, self.health.is_unresponsive(now))
        is_stalled = self.health.is_stalled(self.slots.oldest_age_ms(now))
        may_be_cold = is_stalled or self.health.is_unresponsive(now)
        return self.slots.free(now, may_be_cold)

    def next_change(self, since: clock.Millis) -> clock.Millis:
        """Returns when capacity changes without an answer, or infinity.

        Args:
            since: Changes up to this time are ignored.
        """
        changes = [self.slots.next_release(since)]
        if self.health.is_failing() and self.health.probe_at() > since:
            changes.append(self.health.probe_at())
        return min(changes)

    def may_probe(self, now: clock.Millis) -> bool:
        """Returns whether a failing target may be probed now."""
        return self.slots.in_flight == 0 and now >= self.health.probe_at()

    def cost(self, now: clock.Millis, typical_ms: clock.Millis) -> float:
        """Returns the expected cost of one more request, in milliseconds."""
        in_flight = len(self.slots.work)
        oldest_ms = self.slots.oldest_age_ms(now) if in_flight else 0.0
        return self.health.cost(in_flight, typical_ms, oldest_ms, now)


def select(
    candidates: list[Candidate],
    excluded: frozenset[str],
    now: clock.Millis,
    rng: random.Random,
) -> Candidate | None:
    """Returns the target of lowest cost with a free slot, or None.

    Args:
        candidates: Targets to select from.
        excluded: Addresses that already failed this request.
        now: Current time.
        rng: Breaks ties at random.
    """
    free = [
        candidate
        for candidate in candidates
        if candidate.address not in excluded and candidate.free(now) > 0
    ]
    if any(c.health.is_failing() for c in free):
        free = _exclude_failing(candidates, free, now)
    if not free:
        return None
    if len(free) == 1:
        return free[0]
    known = [c.health.latency_ms for c in free if c.health.latency_ms]
    typical_ms = min(known, default=MIN_LATENCY_MS)
    costs = [candidate.cost(now, typical_ms) for candidate in free]
    lowest = min(costs)
    if costs.count(lowest) == 1:
        return free[costs.index(lowest)]
    tied = zip(free, costs, strict=True)
    return rng.choice([c for c, cost in tied if cost == lowest])


def _exclude_failing(
    candidates: list[Candidate], free: list[Candidate], now: clock.Millis
) -> list[Candidate]:
    """Excludes failing targets that must not be probed, unless all fail."""
    if all(candidate.health.is_failing() for candidate in candidates):
        return free
    return [c for c in free if not c.health.is_failing() or c.may_probe(now)]
