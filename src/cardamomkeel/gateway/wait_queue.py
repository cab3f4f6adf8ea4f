"""Queues requests that wait for a target; late requests wait at the end."""

import asyncio
import bisect
import dataclasses
import itertools

from cardamomkeel import clock

# Limit per service and entry. Work is short: a request behind more than a few
# others is better rejected with a time to retry.
MAX_WAITING_REQUESTS = 6


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """One request in the queue.

    Attributes:
        late: Whether the request can no longer be answered in time.
        priority: Priority of its route; 0 is the most urgent.
        number: Order of arrival.
        wakeup: Resolves to True when the request is to look for a target, to
            False when a more urgent request has displaced it.
    """

    late: bool
    priority: int
    number: int
    wakeup: asyncio.Future[bool]

    def sort_key(self) -> tuple[bool, int, int]:
        """Returns the key by which the queue is sorted."""
        return self.late, self.priority, self.number


class WaitQueue:
    """The waiting requests of one service at this entry."""

    def __init__(self):
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    def try_join(self, late: bool, priority: int) -> Waiter | None:
        """Adds a request; displaces the least urgent one if the queue is full.

        Args:
            late: Whether the request can no longer be answered in time.
            priority: Priority of its route; 0 is the most urgent.

        Returns:
            None if the queue is full and no request in it is less urgent.
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
        """Moves a request behind all that can still be answered in time."""
        waiter.late = True
        if waiter in self._waiters:
            self._waiters.remove(waiter)
            bisect.insort(self._waiters, waiter, key=Waiter.sort_key)

    def leave(self, waiter: Waiter) -> None:
        """Removes a request from the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def is_first(self, waiter: Waiter) -> bool:
        """Returns whether a request is at the head of the queue."""
        return bool(self._waiters) and self._waiters[0] is waiter

    async def wait(self, waiter: Waiter, timeout_ms: clock.Millis) -> bool:
        """Waits for a wakeup or the timeout.

        Returns:
            False if a more urgent request has displaced this one.
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
        """Wakes the request at the head of the queue."""
        if self._waiters and not self._waiters[0].wakeup.done():
            self._waiters[0].wakeup.set_result(True)
