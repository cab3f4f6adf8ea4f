"""Selects the entry that counts the requests of an account.

All entries with the same list of entries select the same keeper. A change of
the list moves only the accounts of the entries that come or go. A new keeper
does not know what the former one has granted, so it may grant only what the
rate has added since it is the keeper.
"""

import collections.abc
import dataclasses
import hashlib

from cardamomkeel import clock

# How long earlier lists are kept. A bucket fills in less.
HORIZON_MS = 60_000.0


@dataclasses.dataclass(frozen=True)
class Members:
    """The entries of one list.

    Attributes:
        sessions: The session of each entry, by name.
        data_centres: The data centre of each entry, by name.
        fingerprint: Tells lists apart.
    """

    sessions: collections.abc.Mapping[str, int]
    data_centres: collections.abc.Mapping[str, str]
    fingerprint: str = ""

    def __post_init__(self):
        """Makes the fingerprint."""
        text = repr(sorted(self.sessions.items()))
        digest = hashlib.blake2b(text.encode(), digest_size=6).hexdigest()
        object.__setattr__(self, "fingerprint", digest)


def rank(account: str, names: collections.abc.Iterable[str]) -> tuple[str, ...]:
    """Returns the names of the keeper and its stand-in."""

    def weigh(name: str) -> bytes:
        text = f"{len(name)} {name}{account}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return tuple(sorted(names, key=weigh)[:2])


class Keepers:
    """Tells who keeps an account, and since when this entry does.

    Attributes:
        members: The newest list.
        edition: The number of lists so far.
    """

    def __init__(self, own: str, now: clock.Millis):
        """Creates the keepers of a process that has just started.

        Args:
            own: The name of this entry.
            now: The time.
        """
        self._own = own
        self._history: list[tuple[clock.Millis, Members]] = [
            (now, Members({}, {}))
        ]
        self._ranked: dict[str, tuple[str, ...]] = {}
        self.edition = 0

    @property
    def members(self) -> Members:
        """The newest list."""
        return self._history[-1][1]

    def set_members(self, members: Members, now: clock.Millis) -> bool:
        """Records a list; returns whether it differs from the last one."""
        if members.fingerprint == self.members.fingerprint:
            return False
        self._history.append((now, members))
        while self._history[1][0] < now - HORIZON_MS:
            del self._history[0]
        self._ranked.clear()
        self.edition += 1
        return True

    def rank(self, account: str) -> tuple[str, ...]:
        """Returns the names of the keeper and its stand-in."""
        ranked = self._ranked.get(account)
        if ranked is None:
            ranked = rank(account, self.members.sessions)
            self._ranked[account] = ranked
        return ranked

    def kept_since(
        self, account: str, earliest: clock.Millis
    ) -> clock.Millis | None:
        """Returns since when this entry keeps an account; None if it doesn't.

        Args:
            account: The name of the account.
            earliest: An earlier time makes no difference.
        """
        since = None
        session = self.members.sessions.get(self._own)
        for at, members in reversed(self._history):
            if members.sessions.get(self._own) != session:
                break
            if rank(account, members.sessions)[:1] != (self._own,):
                break
            since = at
            if at < earliest:
                break
        return since
