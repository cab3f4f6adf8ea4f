"""Requests that wait for a target, the most urgent first."""

import asyncio
import bisect
import dataclasses
import itertools

from cardamomkeel import clock

# So many requests of one service may wait at one entry. Work is short, and
# who waits longer than for a few others is better told to come back.
MOST_WAITING = 6


@dataclasses.dataclass(eq=False, slots=True)
class _Waiter:
    """One request that waits."""

    priority: int
    number: int
    woken: asyncio.Future[bool]

    def rank(self) -> tuple[int, int]:
        return self.priority, self.number


class Waiting:
    """The requests of one service that wait at this entry."""

    def __init__(self):
        self._waiters: list[_Waiter] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    def enter(self, priority: int) -> _Waiter | None:
        """Joins the queue; None where it is full of more urgent requests.

        Args:
            priority: The rank of the request; 0 is the most urgent.
        """
        waiter = _Waiter(
            priority,
            next(self._numbers),
            asyncio.get_running_loop().create_future(),
        )
        if len(self._waiters) >= MOST_WAITING:
            last = self._waiters[-1]
            if last.priority <= priority:
                return None
            self._waiters.pop()
            if not last.woken.done():
                last.woken.set_result(False)
        bisect.insort(self._waiters, waiter, key=_Waiter.rank)
        return waiter

    def leave(self, waiter: _Waiter) -> None:
        """Leaves the queue."""
        if waiter in self._waiters:
            self._waiters.remove(waiter)

    def is_first(self, waiter: _Waiter) -> bool:
        """Tells whether no other request goes before."""
        return bool(self._waiters) and self._waiters[0] is waiter

    async def wait(self, waiter: _Waiter, most_ms: clock.Millis) -> bool:
        """Waits for a change that may let the request go.

        Returns:
            False where a more urgent request has taken its place.
        """
        try:
            async with asyncio.timeout(clock.seconds(max(0.0, most_ms))):
                return await asyncio.shield(waiter.woken)
        except TimeoutError:
            return True
        finally:
            if waiter.woken.done() and waiter in self._waiters:
                loop = asyncio.get_running_loop()
                waiter.woken = loop.create_future()

    def wake(self) -> None:
        """Has the most urgent request look for a target."""
        if self._waiters and not self._waiters[0].woken.done():
            self._waiters[0].woken.set_result(True)
