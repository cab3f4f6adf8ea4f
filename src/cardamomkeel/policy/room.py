"""Estimates what a data centre can still take of the requests of a service.

Answers loads in which callers outnumber the targets of their own data centre
while other data centres have room. Demand and room have one unit: slots kept
busy by work at its usual speed. The expected loss of a data centre grows with
the share of its room that is in use.
"""

import dataclasses
import math

from cardamomkeel import clock

# How many slots share their waiting requests in effect: an entry compares a few
# targets for each request, not all of them.
POOLED_SLOTS = 20.0
# Exponent in the approximation of the probability to wait in a queue with
# `POOLED_SLOTS` servers (Sakasegawa).
WAIT_EXPONENT = math.sqrt(2 * (POOLED_SLOTS + 1)) - 1
# Slope of the loss beyond full use, which keeps it increasing.
OVERLOAD_SLOPE = 0.05
# A report loses its weight between these ages.
FULL_WEIGHT_AGE_MS = 500.0
MAX_AGE_MS = 1200.0


@dataclasses.dataclass(frozen=True, slots=True)
class Room:
    """What is known of one service in one data centre.

    Attributes:
        demand: Slots that the requests of its own callers need.
        slots: Useful slots of targets that are in service, reachable and warm.
        speed: Usual work time as a share of the measured one, at most 1.
        answered: Share of the requests that its targets did not refuse or fail.
        running: Requests that its targets run for all data centres.
        patience: Time that a request can wait and still be answered in time,
            as a multiple of its work time.
        age_ms: The age of these figures.
    """

    demand: float
    slots: float
    speed: float = 1.0
    answered: float = 1.0
    running: float = 0.0
    patience: float = 1.0
    age_ms: clock.Millis = 0.0

    @property
    def capacity(self) -> float:
        """The slots as far as they answer at the usual speed."""
        return self.slots * self.speed * self.answered

    @property
    def weight(self) -> float:
        """How much the figures count, from 1 down to 0 for old ones."""
        left_ms = MAX_AGE_MS - self.age_ms
        return max(0.0, min(1.0, left_ms / (MAX_AGE_MS - FULL_WEIGHT_AGE_MS)))

    def marginal_loss(self, demand: float) -> float:
        """Returns how many requests one more makes late or refused.

        Args:
            demand: The demand that its targets serve.
        """
        if self.capacity <= 0:
            return 1 + OVERLOAD_SLOPE * demand
        used = demand / self.capacity
        if used <= 0:
            return 0.0
        overload = OVERLOAD_SLOPE * max(0.0, used - 1)
        share = min(used, 1.0)
        decay = POOLED_SLOTS * max(0.0, self.patience)
        late = share**WAIT_EXPONENT * math.exp(-(1 - share) * decay)
        return min(1.0, late * (1 + WAIT_EXPONENT + decay * share)) + overload
