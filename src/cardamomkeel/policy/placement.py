"""Chooses the target of one request where every entry sends by itself.

Answers load that shifts within milliseconds: the number of requests that run
at a target is known almost exactly from the entries near it, so it decides;
how slow a target was lately, and how often it failed, decide between targets
that are equally busy. Crossing to another data centre costs bytes, so it has
to save more time than it costs.
"""

import collections.abc
import dataclasses
import random

from cardamomkeel import clock

# Targets may slow down where more than this share of their slots is taken.
NEARLY_FULL_SHARE = 0.8
# How much longer work is expected to take then, where nothing is measured.
NEARLY_FULL_FACTOR = 1.5
# What crossing to another data centre counts as, in objectives.
FAR_COST = 0.35
# What a target with all slots taken counts as, in objectives.
SHARED_COST = 0.1
# Equal costs differ by chance up to this share, so that entries spread.
JITTER_SHARE = 0.05
# Work takes up to this multiple of the expected time as a rule.
SPREAD_FACTOR = 1.6
# Requests that may wait at a target where the caller would be refused else.
WAITING_AT_TARGET = 1


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Option:
    """What is known of one target that may be sent to.

    Attributes:
        index: Its place in the caller's list.
        near: Whether it is in the data centre of this entry.
        slots: How many requests it runs at a time.
        running: How many run there now, as far as is known.
        work_ms: How long it is expected to take for one request.
        failures: The share of its last requests that failed.
    """

    index: int
    near: bool
    slots: int
    running: float
    work_ms: clock.Millis
    failures: float


def expect_ms(option: Option) -> clock.Millis:
    """Returns when an answer is expected if it gets one more request."""
    expected = option.work_ms
    after = option.running + 1
    if after > option.slots * NEARLY_FULL_SHARE and option.slots > 1:
        expected *= NEARLY_FULL_FACTOR
    if after > option.slots:
        expected += option.work_ms * (after - option.slots) / option.slots
    return expected


def rank(
    options: collections.abc.Iterable[Option],
    objective_ms: clock.Millis,
    left_ms: clock.Millis,
    relaxed: bool,
    far: bool,
    rng: random.Random,
) -> list[Option]:
    """Returns the targets that may be sent to, the best first.

    Args:
        options: The targets that are known.
        objective_ms: What is left of the time in which an answer is of use.
        left_ms: What is left before the caller gives up.
        relaxed: Whether a late answer is better than none.
        far: Whether targets of other data centres may be chosen.
        rng: Decides between equals.

    Returns:
        None of them where it is better to wait.
    """
    useful_ms = max(objective_ms, 1.0)
    ranked = []
    for option in options:
        room = option.slots + (WAITING_AT_TARGET if relaxed else 0)
        if option.running >= room or not (far or option.near):
            continue
        expected = expect_ms(option)
        if expected > (left_ms if relaxed else useful_ms):
            continue
        cost = expected / useful_ms / max(0.05, 1 - option.failures) ** 2
        # An idle slot of another target is better than a shared one.
        cost += SHARED_COST * option.running / option.slots
        if not option.near:
            cost += FAR_COST
        cost *= 1 + rng.random() * JITTER_SHARE
        ranked.append((cost, option.index, option))
    return [option for _, _, option in sorted(ranked)]


def may_wait_near_ms(
    objective_ms: clock.Millis, work_ms: clock.Millis
) -> clock.Millis:
    """Returns how long to wait for a target near this entry.

    An answer of a target that becomes free after so long is still in time,
    and a request that crosses to another data centre costs its bytes.

    Args:
        objective_ms: What is left of the time in which an answer is of use.
        work_ms: How long a request is expected to take.
    """
    return objective_ms - work_ms * SPREAD_FACTOR
