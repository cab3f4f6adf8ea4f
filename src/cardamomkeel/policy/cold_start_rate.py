"""Divides the request rate of a target in cold start between entries."""

import collections.abc
import hashlib

from cardamomkeel import clock

# Number of entries that send to one target in cold start. With fewer entries,
# the target is idle when one of them is lost; each entry may exceed its share
# by one request.
MAX_SENDER_ENTRIES = 4


def select_senders(
    address: str, entries: collections.abc.Iterable[str]
) -> list[str]:
    """Returns the entries that may send to a target in cold start.

    Rendezvous hashing gives the same result on every entry.

    Args:
        address: Address of the target.
        entries: Names of the entries in its data centre.
    """

    def rank(name: str) -> bytes:
        key = f"{address} {name}".encode()
        return hashlib.blake2b(key, digest_size=8).digest()

    return sorted(entries, key=rank)[:MAX_SENDER_ENTRIES]


class TokenBucket:
    """Token bucket with a capacity of one request."""

    def __init__(self, per_s: float, now: clock.Millis):
        self._per_s = per_s
        self._tokens = 1.0
        self._refilled_at = now

    def _refill(self, now: clock.Millis) -> None:
        gained = clock.seconds(now - self._refilled_at) * self._per_s
        self._tokens = min(1.0, self._tokens + gained)
        self._refilled_at = now

    def has_token(self, now: clock.Millis) -> bool:
        """Returns whether a request may be sent now."""
        self._refill(now)
        return self._tokens >= 1.0

    def acquire(self, now: clock.Millis) -> None:
        """Removes a token; the count may become negative."""
        self._refill(now)
        self._tokens -= 1.0
