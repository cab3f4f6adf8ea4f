"""Picks the servers of a new version that get requests during a trial.

A version may be bad only under load, and the few requests of a trial would not
load all of its servers. They go to so few that each is loaded a little more
than it will be in the end. Every entry picks the same ones without asking, in
all data centres by turns.
"""

import collections.abc
import hashlib
import math

# The load of a server in trial, as a multiple of what it will be.
LOAD_FACTOR = 1.25


def pick(
    servers: collections.abc.Iterable[tuple[str, str]],
    share: float,
    order: int,
) -> frozenset[str]:
    """Returns the addresses of the servers in trial.

    Args:
        servers: The address and the data centre of each server in service.
        share: The part of the requests that the new version gets.
        order: Identifies the roll-out, so that each picks others.
    """
    groups: dict[str, list[str]] = {}
    for address, data_centre in servers:
        groups.setdefault(data_centre, []).append(address)
    for group in groups.values():
        group.sort(key=lambda address: _rank(address, order))
    total = sum(map(len, groups.values()))
    count = max(1, math.ceil(total * share / LOAD_FACTOR))
    names = sorted(groups, key=lambda name: _rank(name, order))
    rounds = max(map(len, groups.values()), default=0)
    turns = [
        groups[name][turn]
        for turn in range(rounds)
        for name in names
        if turn < len(groups[name])
    ]
    return frozenset(turns[:count])


def _rank(name: str, order: int) -> bytes:
    return hashlib.blake2b(f"{order} {name}".encode(), digest_size=8).digest()
