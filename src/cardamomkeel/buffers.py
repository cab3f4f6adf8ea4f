"""Bounds the bytes of bodies that a process holds.

Requests may fill half of the budget, streams of backend servers three
quarters, and streams of other entries all of it. A stream may wait for bytes
of its reader: that one is a caller or the stream of another entry. Streams of
entries wait for callers alone, so that no two processes wait for each other.
"""

import collections.abc

# Shares of the budget, each larger than the one before it: whoever waits
# for a reader leaves room to what ends by itself.
REQUESTS_SHARE = 0.5
BACKEND_SERVERS_SHARE = 0.75
ENTRIES_SHARE = 1.0

# Called once bytes that were not free have been taken.
GrantedCallback = collections.abc.Callable[[], None]


class Budget:
    """Bytes that all users of a process share.

    Attributes:
        limit: How many bytes may be held.
        held: How many bytes are held.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.held = 0
        self._waiting: list[tuple[Share, int, GrantedCallback]] = []

    def share(self, fraction: float) -> "Share":
        """Returns a use that may fill the budget up to a part of it."""
        return Share(self, fraction)

    def release(self, size: int) -> None:
        """Frees bytes, and gives them to those that wait."""
        self.held -= size
        waiting, self._waiting = self._waiting, []
        for share, wanted_size, on_granted in waiting:
            if share.try_acquire(wanted_size):
                on_granted()
            else:
                self._waiting.append((share, wanted_size, on_granted))

    def add_waiter(
        self, share: "Share", size: int, on_granted: GrantedCallback
    ) -> None:
        """Has bytes taken once they are free."""
        self._waiting.append((share, size, on_granted))

    def remove_waiter(self, on_granted: GrantedCallback) -> None:
        """Forgets a wish that was not granted."""
        self._waiting = [row for row in self._waiting if row[2] != on_granted]

    def count_waiting(self) -> int:
        """Returns how many wait."""
        return len(self._waiting)


class Share:
    """One kind of use, which may fill the budget up to a part of it.

    Attributes:
        budget: The budget.
        held: How many bytes are held for this use.
    """

    def __init__(self, budget: Budget, fraction: float):
        self.budget = budget
        self.held = 0
        self._limit = int(budget.limit * fraction)

    def try_acquire(self, size: int) -> bool:
        """Takes bytes where they are free."""
        if self.budget.held + size > self._limit:
            return False
        self.budget.held += size
        self.held += size
        return True

    def acquire_later(self, size: int, on_granted: GrantedCallback) -> None:
        """Takes bytes once they are free, and says so."""
        self.budget.add_waiter(self, size, on_granted)

    def release(self, size: int) -> None:
        """Frees bytes."""
        self.held -= size
        self.budget.release(size)

    def reserve(self) -> "Reservation":
        """Returns a hold of no bytes yet."""
        return Reservation(self)


class Reservation:
    """The bytes that are held for one body."""

    def __init__(self, share: Share):
        self._share = share
        self._size = 0

    def try_grow(self, size: int) -> bool:
        """Holds at least so many bytes; False where they are not free."""
        more = size - self._size
        if more <= 0:
            return True
        if not self._share.try_acquire(more):
            return False
        self._size = size
        return True

    def release(self) -> None:
        """Frees the bytes."""
        if self._size:
            size, self._size = self._size, 0
            self._share.release(size)


def unlimited() -> Share:
    """Returns a share without a bound, for tools and tests."""
    return Share(Budget(1 << 62), ENTRIES_SHARE)
