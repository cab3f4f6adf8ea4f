"""Ranks the targets of a request when any entry may send to any target.

Load shifts within milliseconds. The number of running requests of a target is
known almost exactly from the entries in its data centre, so it has the most
influence; recent slowdown and failures decide between equally busy targets. A
target that has just reported its load ranks before targets that are likely to
be worse. Sending to another data centre costs bandwidth, so it has to save more
time than its cost. Under overload, requests that are already late leave slots
free for requests that can still be answered in time.
"""

import collections.abc
import dataclasses
import enum
import random

from cardamomkeel import clock
from cardamomkeel.policy import saturation

# Costs are in multiples of the time objective of a request.
#
# Cost of sending to another data centre.
REMOTE_COST = 0.35
# Cost of a target with all slots in use.
OCCUPANCY_COST = 0.1
# Cost of a target that is not preferred: it has closed idle connections, so a
# new one has to be opened.
NOT_PREFERRED_COST = 0.04
# Cost of the time that a load probe takes.
PROBE_COST = 0.05
# Random variation of costs, so that entries spread over equal targets.
JITTER_SHARE = 0.05
# Work usually takes at most this multiple of the expected time.
WORK_SPREAD_FACTOR = 1.6
# Share of the useful slots of a target, at least one slot, that late requests
# leave free.
RESERVED_SHARE = 0.2
# Least free share of a slot. The estimate of free slots for a target that has
# recently reported to be full is a small fraction of one slot.
MIN_FREE_SHARE = 0.5
# Lower bound of the share of requests that a target answers, so that costs stay
# finite.
MIN_ANSWERED_SHARE = 0.05


class Demand(enum.Enum):
    """What a request requires of a target."""

    # A free slot and an answer within the objective.
    IN_TIME = "in time"
    # The request is already late: a useful slot that is not reserved.
    LATE = "late"
    # Used if the request would otherwise be refused: any useful slot, even if
    # the target was not probed or was recently unreachable. Full targets are
    # excluded, since an entry can't control when a target starts queued work.
    LAST_RESORT = "last"


# Not frozen: each request creates one for every target, and creating a frozen
# one takes three times as long.
@dataclasses.dataclass(slots=True)
class Option:
    """A target that a request may be sent to, and what is known of it.

    Attributes:
        index: Position of the target in the list that the options were made
            from.
        near: Whether the target is in the data centre of this entry.
        slots: Number of concurrent requests that it can run.
        useful_slots: Number of slots in use that gives the highest throughput.
        running: Estimated number of requests running now.
        work_ms: Expected work time of a request, at best.
        failures: Share of the last requests that failed.
        is_load_known: Whether it has just reported its load, or never does.
        likely_running: Likely number of running requests if load is unknown.
        likely_slowdown: Likely work time as a multiple of `work_ms`.
        is_preferred: Whether it is a preferred target of this entry.
        saturation_factor: Slowdown of work when the target is nearly full.
    """

    index: int
    near: bool
    slots: int
    useful_slots: int
    running: float
    work_ms: clock.Millis
    failures: float
    is_load_known: bool = True
    likely_running: float = 0.0
    likely_slowdown: float = 1.0
    is_preferred: bool = True
    saturation_factor: float = 1.0


def expect_ms(option: Option) -> clock.Millis:
    """Returns the expected time to answer one more request."""
    expected = option.work_ms
    running_after = option.running + 1
    if running_after > saturation.count_fast_slots(option.slots):
        expected *= option.saturation_factor
    if running_after > option.slots:
        expected += (
            option.work_ms * (running_after - option.slots) / option.slots
        )
    return expected


def _count_usable_slots(option: Option, demand: Demand) -> int:
    """Returns the number of slots of a target that requests may use.

    A nearly full local target is slower, but using it costs no bandwidth to
    another data centre.
    """
    if demand is Demand.IN_TIME and option.near:
        return option.slots
    useful = option.useful_slots
    if demand is Demand.LATE and useful > 1:
        return useful - max(1, round(useful * RESERVED_SHARE))
    return useful


def rank(
    options: collections.abc.Iterable[Option],
    objective_ms: clock.Millis,
    remaining_ms: clock.Millis,
    demand: Demand,
    allow_remote: bool,
    rng: random.Random,
) -> list[Option]:
    """Returns the targets that a request may be sent to, best first.

    Args:
        options: Known targets.
        objective_ms: Remaining time in which an answer is useful.
        remaining_ms: Remaining time before the caller gives up.
        demand: What the request requires of a target.
        allow_remote: Whether targets of other data centres may be used.
        rng: Varies the costs, so that ties are broken at random.

    Returns:
        Usable targets; empty if it is better to wait.
    """
    useful_ms = max(objective_ms, 1.0)
    ranked = []
    for option in options:
        free_slots = _count_usable_slots(option, demand) - option.running
        if free_slots < MIN_FREE_SHARE or not (allow_remote or option.near):
            continue
        expected = expect_ms(option)
        if expected > (useful_ms if demand is Demand.IN_TIME else remaining_ms):
            continue
        likely_ms = expected * option.likely_slowdown
        answered = max(MIN_ANSWERED_SHARE, 1 - option.failures)
        cost = likely_ms / useful_ms / answered**2
        # Idle targets are better than busy ones.
        running = max(option.running, option.likely_running)
        cost += OCCUPANCY_COST * running / option.slots
        if not option.near:
            cost += REMOTE_COST
        if not option.is_load_known:
            cost += PROBE_COST
        if not option.is_preferred:
            cost += NOT_PREFERRED_COST
        cost *= 1 + rng.random() * JITTER_SHARE
        ranked.append((cost, option.index, option))
    return [option for _, _, option in sorted(ranked)]


def max_local_wait_ms(
    objective_ms: clock.Millis, work_ms: clock.Millis
) -> clock.Millis:
    """Returns how long a request may wait for a local target.

    A local target that becomes free within this time can still answer in time,
    while sending to another data centre costs bandwidth.

    Args:
        objective_ms: Remaining time in which an answer is useful.
        work_ms: Expected work time of the request.
    """
    return objective_ms - work_ms * WORK_SPREAD_FACTOR
