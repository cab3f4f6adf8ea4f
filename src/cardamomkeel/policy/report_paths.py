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
    summing = _pick_summing(members.get(data_centre, []))
    abroad = tuple(
        name
        for place, others in sorted(members.items())
        if place != data_centre
        for name in _pick_summing(others)
    )
    onward = {}
    for root in summing:
        order = _order_tree(root, summing, members[data_centre])
        if own in order:
            first = FAN_OUT * order.index(own) + 1
            onward[root] = tuple(order[first : first + FAN_OUT])
    return Paths(summing, abroad, onward)


def _pick_summing(names: list[str]) -> tuple[str, ...]:
    """Returns the summing entries of a data centre.

    Entries that are added seldom take the place of one of them.
    """
    return tuple(sorted(names, key=_hash)[:SUMMING_ENTRIES])


def _order_tree(
    root: str, summing: tuple[str, ...], names: list[str]
) -> list[str]:
    """Returns the entries in the order of a tree, its root first.

    Trees alternate between two directions, so that an entry that hands on to
    others in one tree does not in the next. Other summing entries, which have
    most to send, come last.
    """
    others = sorted((name for name in names if name not in summing), key=_hash)
    if summing.index(root) % 2:
        others.reverse()
    return [root, *others, *(name for name in summing if name != root)]


def _hash(name: str) -> bytes:
    """Returns a hash, which separates entries with consecutive names.

    Their VMs may be lost together.
    """
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
