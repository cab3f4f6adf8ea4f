"""Which of its targets an owner gives the next request to."""

import dataclasses
import random

from cardamomkeel import clock
from cardamomkeel.policy import slots

LATENCY_WEIGHT = 0.2
FAILURE_WEIGHT = 0.2
# A target that fails every request counts as this many times as slow.
FAILURE_COST = 50.0
LEAST_LATENCY_MS = 0.1
# A request is stalled once it is this many times as old as usual answers.
STALL_FACTOR = 10.0
LEAST_STALL_MS = 100.0


@dataclasses.dataclass
class Health:
    """How a target has served lately.

    Attributes:
        latency_ms: Moving average of the latency of its answers; 0 for none.
        failures: Moving average of the share of failed requests.
    """

    latency_ms: clock.Millis = 0.0
    failures: float = 0.0

    def note(self, latency_ms: clock.Millis, failed: bool) -> None:
        """Takes one ended request into account."""
        share = 1.0 if failed else 0.0
        self.failures += FAILURE_WEIGHT * (share - self.failures)
        if failed:
            return
        if self.latency_ms == 0.0:
            self.latency_ms = latency_ms
        self.latency_ms += LATENCY_WEIGHT * (latency_ms - self.latency_ms)

    def is_stalled(self, oldest_ms: clock.Millis) -> bool:
        """Tells whether the oldest request waits much too long."""
        if self.latency_ms == 0.0:
            return False
        usual_ms = STALL_FACTOR * self.latency_ms
        return oldest_ms > max(usual_ms, LEAST_STALL_MS)

    def cost(
        self,
        in_flight: int,
        typical_ms: clock.Millis,
        oldest_ms: clock.Millis = 0.0,
    ) -> float:
        """Returns how long one more request may take, in milliseconds.

        Args:
            in_flight: How many requests the target has.
            typical_ms: The latency to assume where none is known.
            oldest_ms: For how long its oldest request has no answer.
        """
        usual_ms = self.latency_ms or typical_ms
        latency_ms = max(usual_ms, oldest_ms, LEAST_LATENCY_MS)
        return latency_ms * (in_flight + 1) * (1 + FAILURE_COST * self.failures)


@dataclasses.dataclass
class Candidate:
    """A target as the choice sees it."""

    address: str
    slots: slots.Slots
    health: Health

    def free(self, now: clock.Millis) -> int:
        """Returns how many more requests it may be given now."""
        oldest_ms = self.slots.oldest_age(now)
        return self.slots.free(now, self.health.is_stalled(oldest_ms))

    def cost(self, now: clock.Millis, typical_ms: clock.Millis) -> float:
        """Returns how long one more request may take, in milliseconds."""
        return self.health.cost(
            self.slots.in_flight, typical_ms, self.slots.oldest_age(now)
        )


def choose(
    candidates: list[Candidate],
    excluded: frozenset[str],
    now: clock.Millis,
    rng: random.Random,
) -> Candidate | None:
    """Returns the target with the least cost among those with a free slot.

    Args:
        candidates: The targets to choose from.
        excluded: Addresses that already failed this request.
        now: The time.
        rng: Decides between equals.
    """
    free = [
        candidate
        for candidate in candidates
        if candidate.address not in excluded and candidate.free(now) > 0
    ]
    if not free:
        return None
    known = [c.health.latency_ms for c in free if c.health.latency_ms]
    typical_ms = min(known, default=LEAST_LATENCY_MS)
    return min(
        free,
        key=lambda c: (c.cost(now, typical_ms), rng.random()),
    )
