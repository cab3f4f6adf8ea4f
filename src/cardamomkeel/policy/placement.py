"""Chooses the target of one request where every entry sends by itself.

Answers load that shifts within milliseconds: the number of requests that run
at a target is known almost exactly from the entries near it, so it decides;
how slow a target was lately, and how often it failed, decide between targets
that are equally busy. One that has just said how busy and slow it is goes
before those that are likely to be worse. Crossing to another data centre costs
bytes, so it has to save more time than it costs. Where more is asked for than
targets can do, a request that is late already leaves room to those that can be
in time.
"""

import collections.abc
import dataclasses
import enum
import random

from cardamomkeel import clock
from cardamomkeel.policy import saturation

# What crossing to another data centre counts as, in objectives.
REMOTE_COST = 0.35
# What a target with all slots taken counts as, in objectives.
OCCUPANCY_COST = 0.1
# What a target counts as that this entry does not turn to as a rule, in
# objectives: a connection has to be opened, and was closed for being idle.
NOT_PREFERRED_COST = 0.04
# What asking one more target counts as, in objectives: it takes time.
PROBE_COST = 0.05
# Equal costs differ by chance up to this share, so that entries spread.
JITTER_SHARE = 0.05
# Work takes up to this multiple of the expected time as a rule.
WORK_SPREAD_FACTOR = 1.6
# The share of a target's useful slots, one at least, that requests which are
# late leave free.
RESERVED_SHARE = 0.2
# How much of a slot has to be free as far as is known: a target that said a
# moment ago that it is full has a small part of one.
MIN_FREE_SHARE = 0.5
# A target that fails everything counts as answering this share of requests, so
# that costs stay finite.
MIN_ANSWERED_SHARE = 0.05


class Demand(enum.Enum):
    """What a request needs of a target."""

    # A slot that is free, and an answer in time.
    IN_TIME = "in time"
    # It is late already: a useful slot of those that are left over.
    LATE = "late"
    # It would be refused else: any useful slot, whether or not the target has
    # been asked or was unreachable a moment ago. To wait at a full target has
    # the work begin at a moment that nobody chooses.
    LAST_RESORT = "last"


# Not frozen: each request makes one for every target, and a frozen one takes
# three times as long.
@dataclasses.dataclass(slots=True)
class Option:
    """What is known of one target that may be sent to.

    Attributes:
        index: Its place in the caller's list.
        near: Whether it is in the data centre of this entry.
        slots: How many requests it runs at a time.
        useful_slots: With how many of them in use it answers most.
        running: How many run there now, as far as is known.
        work_ms: How long it is expected to take for one request, at best.
        failures: The share of its last requests that failed.
        is_load_known: Whether it has just reported its load, or never does.
        likely_running: How many are likely to run there now.
        likely_slowdown: How much longer than at best work is likely to take.
        is_preferred: Whether it is a preferred target of this entry.
        saturation_factor: How much longer work takes where it is nearly full.
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
    """Returns when an answer is expected if it gets one more request."""
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
    """Returns up to how many running requests a target may have.

    A target near this entry that is nearly full is slower, but it is reached
    without the bytes that cross to another data centre.
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
    """Returns the targets that may be sent to, the best first.

    Args:
        options: The targets that are known.
        objective_ms: What is left of the time in which an answer is of use.
        remaining_ms: The time before the caller gives up.
        demand: What the request needs of a target.
        allow_remote: Whether targets of other data centres may be chosen.
        rng: Decides between equals.

    Returns:
        None of them where it is better to wait.
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
        # An idle slot of another target is better than a shared one.
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
    """Returns how long to wait for a target near this entry.

    An answer of a target that becomes free after so long is still in time,
    and a request that crosses to another data centre costs its bytes.

    Args:
        objective_ms: What is left of the time in which an answer is of use.
        work_ms: How long a request is expected to take.
    """
    return objective_ms - work_ms * WORK_SPREAD_FACTOR
