"""Plans how reports reach the entries of all data centres.

Some entries of each data centre, its summing entries, add up what its entries
report and exchange the sums with those of other data centres. They hand them on
along a tree over all entries, so that none sends to all. Each summing entry has
a tree of its own, so a lost entry or datagram leaves the others without news
only if it is lost in each tree.
"""

import collections.abc
import dataclasses
import hashlib

# Summing entries of a data centre.
SUMMING_ENTRIES = 2
# How many entries an entry hands the sums to.
FAN_OUT = 4


@dataclasses.dataclass(frozen=True)
class Paths:
    """Where one entry sends.

    Attributes:
        summing: The summing entries of its own data centre.
        abroad: Those of the other data centres.
        onward: Where it hands on the sums of each summing entry.
    """

    summing: tuple[str, ...] = ()
    abroad: tuple[str, ...] = ()
    onward: dict[str, tuple[str, ...]] = dataclasses.field(default_factory=dict)


def plan(
    own: str,
    data_centre: str,
    entries: collections.abc.Mapping[str, str],
) -> Paths:
    """Returns the paths of one entry.

    Args:
        own: Its name.
        data_centre: Its data centre.
        entries: The data centre of each entry, its own included.
    """
    members: dict[str, list[str]] = {}
    for name, place in entries.items():
        members.setdefault(place, []).append(name)
    rings = {p: sorted(names, key=_position) for p, names in members.items()}
    ring = rings.get(data_centre, [])
    summing = _pick_summing(ring)
    abroad = tuple(
        name
        for place, others in sorted(rings.items())
        if place != data_centre
        for name in _pick_summing(others)
    )
    onward = {}
    for root in summing:
        start = ring.index(root)
        order = ring[start:] + ring[:start]
        if own in order:
            first = FAN_OUT * order.index(own) + 1
            onward[root] = tuple(order[first : first + FAN_OUT])
    return Paths(summing, abroad, onward)


def _pick_summing(ring: list[str]) -> tuple[str, ...]:
    """Returns summing entries at equal distances on a ring."""
    count = min(SUMMING_ENTRIES, len(ring))
    return tuple(ring[number * len(ring) // count] for number in range(count))


def _position(name: str) -> bytes:
    """Returns the position of an entry on the ring.

    The hash separates entries with consecutive names, whose VMs may be lost
    together.
    """
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
