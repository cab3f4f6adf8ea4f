"""Which entries of one data centre tell each other what they run.

Answers the growth of a data centre: an entry that tells 45 others of each
request takes three times the processor time of one that tells four. What the
others run matters in the few milliseconds between a target's own word on its
load and a request, so each entry tells a few others, and all are told alike.
"""

import collections.abc
import dataclasses
import hashlib

# Each entry tells so many others. All of them where a data centre has no more.
MAX_PEERS = 8


@dataclasses.dataclass(frozen=True)
class Peers:
    """The entries next to one entry.

    Attributes:
        sends_to: The entries that it sends to.
        receives_from: The entries that send to it.
    """

    sends_to: frozenset[str] = frozenset()
    receives_from: frozenset[str] = frozenset()


def pick(own: str, others: collections.abc.Iterable[str]) -> Peers:
    """Returns the peers of an entry on a ring of all names.

    Every entry works it out for itself, so all have to know the same names.

    Args:
        own: The name of the entry.
        others: The names of the others of its data centre.
    """
    ring = sorted({own, *others}, key=_ring_position)
    start = ring.index(own)
    successors = ring[start + 1 :] + ring[:start]
    return Peers(
        frozenset(successors[:MAX_PEERS]), frozenset(successors[-MAX_PEERS:])
    )


def _ring_position(name: str) -> bytes:
    """Returns the place of an entry on the ring.

    Names that follow each other are of VMs that may be lost together.
    """
    return hashlib.blake2b(name.encode(), digest_size=8).digest()
