"""Selects the entries that exchange counts of running requests.

An entry that sends an update on each request to 45 others uses three times the
CPU time of one that sends it to four. The requests of other entries matter only
for the few milliseconds between a target's load report and a request, so each
entry sends updates to a few peers, and each entry receives equally many.
"""

import collections.abc
import dataclasses
import hashlib

# Each entry sends to this many others, or to all in a smaller data centre.
MAX_PEERS = 8


@dataclasses.dataclass(frozen=True)
class Peers:
    """The peers of one entry.

    Attributes:
        sends_to: The entries that it sends to.
        receives_from: The entries that send to it.
    """

    sends_to: frozenset[str] = frozenset()
    receives_from: frozenset[str] = frozenset()


def pick(own: str, others: collections.abc.Iterable[str]) -> Peers:
    """Returns the peers of an entry on a hash ring of all entries.

    Each entry computes its own peers, so all need to know the same names.

    Args:
        own: Name of the entry.
        others: Names of the other entries of its data centre.
    """
    ring = sorted({own, *others}, key=_ring_position)
    start = ring.index(own)
    successors = ring[start + 1 :] + ring[:start]
    return Peers(
        frozenset(successors[:MAX_PEERS]), frozenset(successors[-MAX_PEERS:])
    )


def _ring_position(name: str) -> bytes:
    """Returns the position of an entry on the ring.

    The hash separates entries with consecutive names, whose VMs may be lost
    together.
    """
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
