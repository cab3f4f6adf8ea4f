"""Limits the memory that a process uses for bodies.

Requests may fill half of the budget, streams from backend servers three
quarters, and streams from other entries all of it. A stream keeps its bytes
until its reader takes them. The reader of a stream from a backend server is a
caller or a stream in another entry; the reader of a stream from an entry is
always a caller, so that no two processes wait for each other.
"""

import collections.abc

from cardamomkeel.policy import memory_pressure

# Shares of the budget. Requests may wait for streams from backend servers, and
# those for streams from entries. Each use therefore gets a smaller share than
# the use that it waits for.
REQUESTS_SHARE = 0.5
BACKEND_SERVERS_SHARE = 0.75
ENTRIES_SHARE = 1.0

# Called once bytes that were not available have been acquired.
GrantedCallback = collections.abc.Callable[[], None]


class Budget:
    """The bytes that all uses in a process share.

    Attributes:
        limit: The maximum number of acquired bytes.
        held: The number of acquired bytes.
        make_room: Called with the number of bytes that are missing, to free
            them; None if nothing can.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.held = 0
        self.make_room: collections.abc.Callable[[int], None] | None = None
        self._waiting: list[tuple[Share, int, GrantedCallback]] = []

    def share(
        self, fraction: float, long_fraction: float | None = None
    ) -> "Share":
        """Returns a share that may fill a fraction of the budget.

        Args:
            fraction: How much of the budget may be filled.
            long_fraction: The same for long bodies, where it is less.
        """
        return Share(self, fraction, long_fraction)

    def release(self, size: int) -> None:
        """Releases bytes and grants them to waiters, in order."""
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
        """Registers a waiter that acquires bytes once they are available."""
        self._waiting.append((share, size, on_granted))

    def remove_waiter(self, on_granted: GrantedCallback) -> None:
        """Removes a waiter that has not acquired its bytes."""
        self._waiting = [row for row in self._waiting if row[2] != on_granted]

    def count_waiting(self) -> int:
        """Returns the number of waiters."""
        return len(self._waiting)


class Share:
    """One kind of use, which may fill the budget up to a fraction of it.

    Attributes:
        budget: The budget.
        held: The number of bytes that this use has acquired.
    """

    def __init__(
        self,
        budget: Budget,
        fraction: float,
        long_fraction: float | None = None,
    ):
        self.budget = budget
        self.held = 0
        self._limit = int(budget.limit * fraction)
        self._long_limit = self._limit
        if long_fraction is not None:
            self._long_limit = int(budget.limit * long_fraction)

    def try_acquire(self, size: int, body_size: int = 0) -> bool:
        """Acquires bytes; returns False if they are not available.

        Args:
            size: How many bytes.
            body_size: Length of the body that they belong to.
        """
        limit = self._limit
        if body_size > memory_pressure.LONG_BODY_BYTES:
            limit = self._long_limit
        missing = self.budget.held + size - limit
        if missing > 0 and self.budget.make_room is not None:
            self.budget.make_room(missing)
        if self.budget.held + size > limit:
            return False
        self.budget.held += size
        self.held += size
        return True

    def acquire_later(self, size: int, on_granted: GrantedCallback) -> None:
        """Acquires bytes once they are available, then calls `on_granted`."""
        self.budget.add_waiter(self, size, on_granted)

    def release(self, size: int) -> None:
        """Releases bytes."""
        self.held -= size
        self.budget.release(size)

    def create_reservation(self) -> "Reservation":
        """Returns a new reservation, which has no bytes yet."""
        return Reservation(self)


class Reservation:
    """The bytes that are reserved for one body."""

    def __init__(self, share: Share):
        self._share = share
        self._size = 0

    def try_grow(self, size: int) -> bool:
        """Grows to `size` bytes; returns False if they are not available."""
        more = size - self._size
        if more <= 0:
            return True
        if not self._share.try_acquire(more, size):
            return False
        self._size = size
        return True

    def release(self) -> None:
        """Releases all bytes of the reservation."""
        if self._size:
            size, self._size = self._size, 0
            self._share.release(size)


def unlimited() -> Share:
    """Returns a share without a limit."""
    return Share(Budget(1 << 62), ENTRIES_SHARE)
