"""Requests that wait for a target, those that can be in time first."""

import asyncio
import bisect
import dataclasses
import itertools

from cardamomkeel import clock

# So many requests of one service may wait at one entry. Work is short, and
# who waits longer than for a few others is better told to come back.
MAX_WAITING_REQUESTS = 6


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """One request that waits.

    Attributes:
        late: Whether it can't be answered in time any more.
        priority: Its rank among those like it; 0 is the most urgent.
        number: Tells which came first.
        wakeup: Set to True where it is to look for a target, to False where
            another has taken its place.
    """

    late: bool
    priority: int
    number: int
    wakeup: asyncio.Future[bool]

    def sort_key(self) -> tuple[bool, int, int]:
        """Returns what waiting requests are ordered by."""
        return self.late, self.priority, self.number


class WaitQueue:
    """The requests of one service that wait at this entry."""

    def __init__(self):
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    def try_join(self, late: bool, priority: int) -> Waiter | None:
        """Joins the queue; None where it is full of more urgent requests.

        Args:
            late: Whether the request can't be answered in time any more.
            priority: The rank of the request; 0 is the most urgent.
        """
        waiter = Waiter(
            late,
            priority,
            next(self._numbers),
            asyncio.get_running_loop().create_future(),
        )
        if len(self._waiters) >= MAX_WAITING_REQUESTS:
            last = self._waiters[-1]
            if (last.late, last.priority) <= (late, priority):
                return None
            self._waiters.pop()
            if not last.wakeup.done():
                last.wakeup.set_result(False)
        bisect.insort(self._waiters, waiter, key=Waiter.sort_key)
        return waiter

    def mark_late(self, waiter: Waiter) -> None:
        """Has a request wait behind all that can still be in time."""
        waiter.late = True
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            bisect.insort(self._waiters, waiter, key=Waiter.sort_key)

    def leave(self, waiter: Waiter) -> None:
        """Leaves the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def is_first(self, waiter: Waiter) -> bool:
        """Tells whether no other request goes before."""
        return bool(self._waiters) and self._waiters[0] is waiter

    async def wait(self, waiter: Waiter, timeout_ms: clock.Millis) -> bool:
        """Waits for a change that may let the request go.

        Returns:
            False where a more urgent request has taken its place.
        """
        try:
            async with asyncio.timeout(clock.seconds(max(0.0, timeout_ms))):
                return await asyncio.shield(waiter.wakeup)
        except TimeoutError:
            return True
        finally:
            if waiter.wakeup.done() and waiter in self._waiters:
                loop = asyncio.get_running_loop()
                waiter.wakeup = loop.create_future()

    def wake(self) -> None:
        """Has the most urgent request look for a target."""
        if self._waiters and not self._waiters[0].wakeup.done():
            self._waiters[0].wakeup.set_result(True)
