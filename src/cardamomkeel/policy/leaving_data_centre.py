"""Decides how much of a service's demand leaves its data centre, and where to.

Answers demand in waves that reach the data centres at different times, a data
centre without enough targets beside an idle one, and an overload of all. The
share that leaves is such that the last request sent gains as much as its way
costs. All entries decide alike from the same reports. A data centre in need
gets its part of the room of each other one, so that two of them don't fill the
same slots, and one that lacks room itself is sent nothing.
"""

import collections.abc
import dataclasses
import math
import random

from cardamomkeel import clock
from cardamomkeel.policy import room as room_lib

# The offers are shared by the demand above an even use of all data centres, and
# by at least this share of the demand, so that none is left without a part.
MIN_NEED_SHARE = 0.1
# Gain of the first request, in requests answered in time, from which requests
# begin to leave; they stop once nothing is gained.
START_GAIN = 0.1
# Smaller changes of a share are ignored.
DEAD_BAND = 0.02
# Largest change of a share per second.
MAX_RISE_PER_S = 1.0
MAX_FALL_PER_S = 2.0
# Steps of the searches for the loss at which sending ends, and for the slots of
# an offer that raise the loss so far.
LEVEL_STEPS = 8
FILL_STEPS = 7
# A loss so small that it is taken for none.
MIN_LEVEL = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Way:
    """What one request costs on its way to another data centre.

    Attributes:
        delay_ms: The additional time to its answer.
        patience_ms: The time that it can wait and still be answered in time.
        size_mb: Length of request and answer.
        cost_per_mb: How many requests answered in time a megabyte is worth.
    """

    delay_ms: clock.Millis
    patience_ms: clock.Millis
    size_mb: float
    cost_per_mb: float

    @property
    def cost(self) -> float:
        """The cost, in requests answered in time."""
        late = min(1.0, self.delay_ms / max(1.0, self.patience_ms))
        return late + self.size_mb * self.cost_per_mb


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """What another data centre can take from this one.

    Attributes:
        slots: Slots for the requests of this data centre.
        part: Their share of the slots that it offers to all.
    """

    slots: float
    part: float


def list_offers(
    own: str,
    rooms: collections.abc.Mapping[str, room_lib.Room],
    running: collections.abc.Mapping[str, float],
) -> dict[str, Offer]:
    """Returns what each other data centre offers to this one.

    Args:
        own: This data centre.
        rooms: What is known of the service, by data centre.
        running: Requests of this data centre that others run.
    """
    capacity = sum(room.capacity for room in rooms.values())
    demand = sum(room.demand for room in rooms.values())
    even = demand / capacity if capacity else 0.0
    needs = {
        name: max(
            room.demand - even * room.capacity, MIN_NEED_SHARE * room.demand
        )
        for name, room in rooms.items()
    }
    offers = {}
    for name, room in rooms.items():
        total = sum(needs.values()) - needs[name]
        if name == own or not total:
            continue
        part = needs[own] / total
        spare = room.capacity - room.demand
        free = max(0.0, room.capacity - room.running)
        slots = max(spare * part, free * part + running.get(name, 0))
        slots = min(slots, room.capacity) * room.weight
        if slots > 0:
            offers[name] = Offer(slots, part)
    return offers


def find_shares(
    own: str,
    rooms: collections.abc.Mapping[str, room_lib.Room],
    offers: collections.abc.Mapping[str, Offer],
    way_cost: float,
    max_share: float,
) -> dict[str, float]:
    """Returns the best share of the demand for each other data centre.

    Args:
        own: This data centre.
        rooms: What is known of the service, by data centre.
        offers: What others offer.
        way_cost: The cost of one request's way.
        max_share: Bound on the sum of the shares.
    """
    here = rooms[own]
    if here.demand <= 0 or not offers:
        return {}

    def amounts(level: float) -> dict[str, float]:
        return {
            name: _fill(rooms[name], offer, level)
            for name, offer in offers.items()
        }

    def gains(amount: float, level: float) -> bool:
        left = here.demand - amount
        return left > 0 and here.marginal_loss(left) - way_cost > level

    # The level is the loss there at which no more is sent.
    low, high = MIN_LEVEL, max(MIN_LEVEL, here.marginal_loss(here.demand))
    slots = amounts(low)
    if gains(sum(slots.values()), low):
        for _ in range(LEVEL_STEPS):
            level = math.sqrt(low * high)
            slots = amounts(level)
            if gains(sum(slots.values()), level):
                low = level
            else:
                high = level
        slots = amounts(low)
    else:
        part = _bisect(
            lambda part: gains(part * sum(slots.values()), 0.0), LEVEL_STEPS
        )
        slots = {name: part * amount for name, amount in slots.items()}
    shares = {n: amount / here.demand for n, amount in slots.items()}
    scale = min(1.0, max_share / max(sum(shares.values()), MIN_LEVEL))
    return {n: share * scale for n, share in shares.items() if share > 0}


def _fill(room: room_lib.Room, offer: Offer, level: float) -> float:
    """Returns how many slots of an offer raise the loss to a level.

    The other data centres in need are assumed to fill their parts alike.
    """

    def is_below(part: float) -> bool:
        added = part * offer.slots / offer.part
        return room.marginal_loss(room.demand + added) <= level

    return offer.slots * _bisect(is_below, FILL_STEPS)


def _bisect(
    holds: collections.abc.Callable[[float], bool], steps: int
) -> float:
    """Returns up to which part, of 0 to 1, a condition holds."""
    if holds(1.0):
        return 1.0
    low, high = 0.0, 1.0
    for _ in range(steps):
        middle = (low + high) / 2
        if holds(middle):
            low = middle
        else:
            high = middle
    return low


class LeavingDecision:
    """The shares of one service that leave its data centre, with hysteresis.

    Attributes:
        shares: Share of the requests for each other data centre.
        offers: What each other data centre offers.
    """

    def __init__(self, own: str, max_share: float):
        self._own = own
        self._max_share = max_share
        self._updated_at: clock.Millis | None = None
        self.shares: dict[str, float] = {}
        self.offers: dict[str, Offer] = {}

    def update(
        self,
        rooms: collections.abc.Mapping[str, room_lib.Room],
        running: collections.abc.Mapping[str, float],
        way_cost: float,
        max_share: float,
        now: clock.Millis,
    ) -> bool:
        """Decides anew.

        Args:
            rooms: What is known of the service, by data centre, this one
                included.
            running: Requests of this data centre that others run.
            way_cost: The cost of one request's way.
            max_share: Bound that the bytes on the way set.
            now: The time.

        Returns:
            Whether the shares have changed.
        """
        before = self.shares
        elapsed_ms = 0.0 if self._updated_at is None else now - self._updated_at
        self._updated_at = now
        self.offers = list_offers(self._own, rooms, running)
        wanted: dict[str, float] = {}
        here = rooms[self._own]
        here_loss = here.marginal_loss(here.demand)
        gain = here_loss - way_cost
        if gain >= START_GAIN or (before and gain > 0):
            wanted = find_shares(
                self._own,
                rooms,
                self.offers,
                way_cost,
                min(self._max_share, max_share),
            )
        self.shares = {}
        for name in wanted.keys() | before.keys():
            share = self._limit(
                before.get(name, 0.0), wanted.get(name, 0.0), elapsed_ms
            )
            if share > 0 and name in self.offers:
                there = rooms[name].marginal_loss(rooms[name].demand)
                # None leave to a data centre that has become the busier one.
                if there + way_cost < here_loss:
                    self.shares[name] = share
        return self.shares != before

    def _limit(
        self, before: float, wanted: float, elapsed_ms: clock.Millis
    ) -> float:
        """Returns a share after the dead band and the bounds on changes."""
        if wanted and abs(wanted - before) < DEAD_BAND:
            return before
        passed_s = clock.seconds(elapsed_ms)
        rise, fall = MAX_RISE_PER_S * passed_s, MAX_FALL_PER_S * passed_s
        return min(before + rise, max(before - fall, wanted))

    def draw(self, rng: random.Random) -> str | None:
        """Returns where one request leaves to, or None if it stays."""
        if not self.shares:
            return None
        drawn = rng.random()
        for name, share in sorted(self.shares.items()):
            drawn -= share
            if drawn < 0:
                return name
        return None


# Requests that an entry may send at once.
ALLOWED_BURST = 2.0


class Allowance:
    """The requests that one entry may send to one other data centre.

    Attributes:
        per_s: Their rate.
    """

    def __init__(self, now: clock.Millis):
        self.per_s = 0.0
        self._tokens = 0.0
        self._filled_at = now

    def set_rate(self, per_s: float, now: clock.Millis) -> None:
        """Changes the rate; 0 takes back what has not been used."""
        self._fill(now)
        self.per_s = per_s
        if not per_s:
            self._tokens = 0.0

    def _fill(self, now: clock.Millis) -> None:
        passed_s = clock.seconds(now - self._filled_at)
        self._filled_at = now
        self._tokens = min(ALLOWED_BURST, self._tokens + passed_s * self.per_s)

    def has_token(self, now: clock.Millis) -> bool:
        """Returns whether a request may be sent now."""
        self._fill(now)
        return self._tokens > 0

    def use(self, now: clock.Millis) -> None:
        """Counts a request that is sent."""
        self._fill(now)
        self._tokens -= 1
