"""Which targets of a large data centre an entry turns to first.

Answers many entries that each send little: 45 entries that choose among 35
targets by chance send to each of them every 20 s, and find the connection
closed for being idle nearly every time. An entry that turns to the same few
keeps its connections to them in use. Others are chosen where these are busy or
slow.
"""

import collections.abc
import hashlib
import heapq

# So many targets of each service, a few more than may be slowed at once.
MAX_PREFERRED_TARGETS = 6


def select(rank_keys: collections.abc.Mapping[str, bytes]) -> frozenset[str]:
    """Returns the targets that an entry turns to first.

    A target that goes changes one of a few entries only.

    Args:
        rank_keys: Where each target of one service in the data centre of the
            entry stands in its order, by address.
    """
    first = heapq.nsmallest(
        MAX_PREFERRED_TARGETS, rank_keys, key=rank_keys.__getitem__
    )
    return frozenset(first)


def rank_key(own: str, address: str) -> bytes:
    """Returns where a target stands in the order of an entry.

    Different entries have different orders.

    Args:
        own: The name of the entry.
        address: That of the target.
    """
    return hashlib.blake2b(f"{own} {address}".encode(), digest_size=8).digest()
