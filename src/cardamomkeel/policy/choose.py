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

    def cost(self, in_flight: int, typical_ms: clock.Millis) -> float:
        """Returns how long one more request may take, in milliseconds."""
        latency_ms = max(self.latency_ms or typical_ms, LEAST_LATENCY_MS)
        return latency_ms * (in_flight + 1) * (1 + FAILURE_COST * self.failures)


@dataclasses.dataclass
class Candidate:
    """A target as the choice sees it."""

    address: str
    slots: slots.Slots
    health: Health


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
        if candidate.address not in excluded and candidate.slots.free(now) > 0
    ]
    if not free:
        return None
    known = [c.health.latency_ms for c in free if c.health.latency_ms]
    typical_ms = min(known, default=LEAST_LATENCY_MS)
    return min(
        free,
        key=lambda c: (
            c.health.cost(c.slots.in_flight, typical_ms),
            rng.random(),
        ),
    )
