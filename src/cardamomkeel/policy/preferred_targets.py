"""Selects the targets that an entry of a large data centre prefers.

With many entries that each send few requests, connections go idle: if 45
entries choose among 35 targets at random, each entry sends to a target every
20 s and finds its connection closed nearly every time. An entry that prefers
the same few targets keeps its connections to them in use. Other targets are
selected when the preferred ones are busy or slow.
"""

import collections.abc
import hashlib
import heapq

# Per service; a few more than may be slow at the same time.
MAX_PREFERRED_TARGETS = 6


def select(rank_keys: collections.abc.Mapping[str, bytes]) -> frozenset[str]:
    """Returns the preferred targets of an entry by rendezvous hashing.

    Only entries that preferred a target change their selection when the target
    is removed, by one target each.

    Args:
        rank_keys: Rank keys of the targets of one service in the data centre
            of the entry, by address.
    """
    first = heapq.nsmallest(
        MAX_PREFERRED_TARGETS, rank_keys, key=rank_keys.__getitem__
    )
    return frozenset(first)


def rank_key(own: str, address: str) -> bytes:
    """Returns the key by which an entry ranks a target, lowest first.

    Entries rank the targets in different orders.

    Args:
        own: Name of the entry.
        address: Address of the target.
    """
    return hashlib.blake2b(f"{own} {address}".encode(), digest_size=8).digest()
