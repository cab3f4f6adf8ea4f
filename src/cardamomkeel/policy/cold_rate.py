"""Shares the rate that a target in cold start bears between entries."""

import collections.abc
import hashlib

from cardamomkeel import clock

# So many entries send to one target in cold start. Fewer leave it idle when
# one of them is lost; each may exceed its share by one request.
SENDERS = 4


def pick_senders(
    address: str, entries: collections.abc.Iterable[str]
) -> list[str]:
    """Returns the entries that may send to a target in cold start.

    Every entry works it out for itself, by rendezvous hashing.

    Args:
        address: The target.
        entries: The names of the entries near it.
    """

    def rank(name: str) -> bytes:
        key = f"{address} {name}".encode()
        return hashlib.blake2b(key, digest_size=8).digest()

    return sorted(entries, key=rank)[:SENDERS]


class Bucket:
    """Lets requests pass at a rate, one at a time."""

    def __init__(self, per_s: float, now: clock.Millis):
        self._per_s = per_s
        self._level = 1.0
        self._at = now

    def _fill(self, now: clock.Millis) -> None:
        gained = clock.seconds(now - self._at) * self._per_s
        self._level = min(1.0, self._level + gained)
        self._at = now

    def has(self, now: clock.Millis) -> bool:
        """Tells whether a request may pass now."""
        self._fill(now)
        return self._level >= 1.0

    def take(self, now: clock.Millis) -> None:
        """Lets a request pass."""
        self._fill(now)
        self._level -= 1.0
