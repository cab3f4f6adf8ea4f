"""Decides whose bytes go when a process may hold no more.

Answers callers that nobody controls: many that send most of a long body, or
take none of their answer, and keep the connection open.
"""

import collections.abc
import dataclasses
import typing

from cardamomkeel import clock

# A caller of any use is faster; a link of 2 Mbit/s brings 250 bytes in 1 ms.
SLOWEST_BYTES_PER_MS = 16.0
# A caller that stood still for less may be a lost packet away from its end.
MIN_STILL_MS = 1000.0
# Bodies beyond this length leave room for shorter ones.
LONG_BODY_BYTES = 65_536
# The parts of the budget that long and short bodies may fill. The rest is for
# the answers to requests that have run.
LONG_BODIES_SHARE = 0.875
SHORT_BODIES_SHARE = 0.94
# Callers retry after a second without being read. They learn it before that.
MAX_WAIT_MS = 900.0


@dataclasses.dataclass(frozen=True, slots=True)
class Holder:
    """A connection that holds bytes and may be ended.

    Attributes:
        key: Identifies the connection.
        size: The bytes that it holds.
        still_ms: How long it stood still.
    """

    key: typing.Any
    size: int
    still_ms: clock.Millis


def advance(
    moved_at: clock.Millis, size: int, now: clock.Millis
) -> clock.Millis:
    """Returns until when a connection counts as moving.

    A caller that sends a byte now and then is as good as one that stands
    still, so bytes count for the time that they take at the slowest speed.

    Args:
        moved_at: Until when it counted as moving before.
        size: The bytes that were sent or taken since.
        now: The current time.
    """
    return min(now, moved_at + size / SLOWEST_BYTES_PER_MS)


def get_limit(budget: int, size: int) -> int:
    """Returns how many bytes may be held in all once a body is admitted.

    Args:
        budget: The bytes that the process may hold, in all.
        size: Length of the body, as far as it is known.
    """
    if size > LONG_BODY_BYTES:
        return int(budget * LONG_BODIES_SHARE)
    return int(budget * SHORT_BODIES_SHARE)


def choose_ended(
    holders: collections.abc.Iterable[Holder], needed: int
) -> list[Holder]:
    """Returns which connections are ended so that others find room.

    Those that have held most for longest go first. Returns none if all of them
    together would not make room.

    Args:
        holders: Connections whose request has not run, or whose answer is not
            taken.
        needed: How many bytes are missing.
    """
    still = [h for h in holders if h.still_ms >= MIN_STILL_MS and h.size]
    still.sort(key=lambda holder: holder.size * holder.still_ms, reverse=True)
    ended = []
    for holder in still:
        if needed <= 0:
            break
        ended.append(holder)
        needed -= holder.size
    return ended if needed <= 0 else []
