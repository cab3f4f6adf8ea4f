"""Shares the rate that a target in cold start bears between entries."""

import collections.abc
import hashlib

from cardamomkeel import clock

# So many entries send to one target in cold start. Fewer leave it idle when
# one of them is lost; each may exceed its share by one request.
MAX_SENDER_ENTRIES = 4


def select_senders(
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

    return sorted(entries, key=rank)[:MAX_SENDER_ENTRIES]


class TokenBucket:
    """Lets requests pass at a rate, one at a time."""

    def __init__(self, per_s: float, now: clock.Millis):
        self._per_s = per_s
        self._tokens = 1.0
        self._refilled_at = now

    def _refill(self, now: clock.Millis) -> None:
        gained = clock.seconds(now - self._refilled_at) * self._per_s
        self._tokens = min(1.0, self._tokens + gained)
        self._refilled_at = now

    def has_token(self, now: clock.Millis) -> bool:
        """Tells whether a request may pass now."""
        self._refill(now)
        return self._tokens >= 1.0

    def acquire(self, now: clock.Millis) -> None:
        """Lets a request pass."""
        self._refill(now)
        self._tokens -= 1.0
