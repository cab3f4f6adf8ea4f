"""Divides the limit of a client account among those who grant it.

Answers the load of an account that sends many times its usual to all entries at
once. In any window, requests up to rate x window + burst are within the limit;
a bound above it leaves room for what no entry can know. The room is divided:
the keeper of an account, which grants nearly all of it, a stand-in for a silent
keeper, and what each entry grants by itself. The rest covers a keeper that has
not heard yet that it is none any more. Each part is a token bucket, so that the
sum over any window stays below the bound, whoever is out of touch with whom.
"""

import dataclasses
import typing

from cardamomkeel import clock

KEEPER_SHARE = 0.2
STAND_IN_SHARE = 0.3
OWN_SHARE = 0.3


@dataclasses.dataclass(frozen=True)
class Bounds:
    """How far the requests of all entries may exceed a limit.

    Attributes:
        window_ms: The window in which requests are counted.
        excess: A share of the limit of a window.
        slack: Requests in a window.
    """

    window_ms: clock.Millis = 5000.0
    excess: float = 0.1
    slack: float = 20.0


class Limited(typing.Protocol):
    """An account with a limit.

    Attributes:
        rate_per_s: Its requests per second; 0 for no limit.
        burst: How many requests it may send beyond the rate.
    """

    @property
    def rate_per_s(self) -> float:
        """Requests per second."""

    @property
    def burst(self) -> float:
        """Requests beyond the rate."""


class Allowance(typing.NamedTuple):
    """The rate and the capacity of a bucket.

    Attributes:
        per_s: Requests per second.
        capacity: Requests at once.
    """

    per_s: float
    capacity: float


def _get_room(limit: Limited, bounds: Bounds) -> float:
    """Returns the requests in a window between limit and bound."""
    window_s = clock.seconds(bounds.window_ms)
    whole = limit.rate_per_s * window_s + limit.burst
    return whole * bounds.excess + bounds.slack


def _spread(requests: float, bounds: Bounds) -> Allowance:
    """Returns a bucket that grants so many requests in any window."""
    per_s = requests / 2 / clock.seconds(bounds.window_ms)
    return Allowance(per_s, requests / 2)


def allow_keeper(limit: Limited, bounds: Bounds) -> Allowance:
    """Returns what the keeper of an account grants."""
    extra = _get_room(limit, bounds) * KEEPER_SHARE
    return Allowance(limit.rate_per_s, max(1.0, limit.burst + extra))


def allow_stand_in(limit: Limited, bounds: Bounds, entries: int) -> Allowance:
    """Returns what the stand-in grants while entries miss the keeper.

    Where the parts of the entries are too small for one request, it has these
    as well.

    Args:
        limit: The account.
        bounds: How far its limit may be exceeded.
        entries: The number of entries.
    """
    share = STAND_IN_SHARE
    if allow_own(limit, bounds, entries).capacity < 1:
        share += OWN_SHARE
    return _spread(_get_room(limit, bounds) * share, bounds)


def allow_own(limit: Limited, bounds: Bounds, entries: int) -> Allowance:
    """Returns what each entry grants without asking.

    Args:
        limit: The account.
        bounds: How far its limit may be exceeded.
        entries: The number of entries.
    """
    room = _get_room(limit, bounds) * OWN_SHARE
    return _spread(room / max(1, entries), bounds)


class Bucket:
    """A token bucket that tells when it has tokens again.

    Attributes:
        allowance: Its rate and capacity.
        level: The tokens at the time of the last call.
    """

    def __init__(self, allowance: Allowance, now: clock.Millis):
        """Creates a full bucket."""
        self.allowance = allowance
        self.level = allowance.capacity
        # Refused requests that were told to return, before the next one.
        self._returning = 0.0
        self._at = now

    def refill(self, allowance: Allowance, now: clock.Millis) -> None:
        """Adds the tokens since the last call, at the rate now in force."""
        gained = clock.seconds(max(0.0, now - self._at)) * allowance.per_s
        self._at = now
        self.allowance = allowance
        self.level = min(allowance.capacity, self.level + gained)
        self._returning = max(0.0, self._returning - gained)

    def take(self, count: int) -> int:
        """Takes tokens for as many requests as there are; returns how many."""
        taken = min(count, int(self.level))
        self.level -= taken
        return taken

    def try_take(self, now: clock.Millis) -> bool:
        """Takes one token, at the rate of before; False if there is none."""
        if self.allowance.capacity < 1:
            return False
        self.refill(self.allowance, now)
        return self.take(1) == 1

    def give_back(self, count: float) -> None:
        """Adds tokens for requests that were not sent."""
        self.level = min(self.allowance.capacity, self.level + count)

    def next_ms(self) -> clock.Millis:
        """Returns how long until the next token is complete."""
        return self._ms_until(1.0 - self.level)

    def plan_return(self, count: int, longest_ms: clock.Millis) -> clock.Millis:
        """Returns when refused requests may return, one after the other.

        Args:
            count: The number of refused requests.
            longest_ms: The longest time that is told.
        """
        longest = clock.seconds(longest_ms) * self.allowance.per_s
        self._returning = min(longest, self._returning + count)
        until = max(1.0 - self.level, self._returning)
        return min(longest_ms, self._ms_until(until))

    def _ms_until(self, tokens: float) -> clock.Millis:
        if tokens <= 0:
            return 0.0
        if self.allowance.per_s <= 0:
            return float("inf")
        return tokens / self.allowance.per_s * clock.MS_PER_SECOND
