"""Queues requests that wait for a target, in the order they are served in.

The queue is bounded by the expected wait of each request in it, not by their
number: a request that would wait longer than it may is not added, and one that
is pushed back so far by more urgent ones leaves at once.
"""

import asyncio
import bisect
import collections.abc
import dataclasses
import itertools

from cardamomkeel import clock


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """One request in the queue.

    Attributes:
        late: Whether the request can no longer be answered in time.
        priority: Its rank; 0 is the most urgent.
        returned: Whether its caller has been refused before.
        until: Until when it may wait, on the local clock.
        number: Order of arrival.
        wakeup: Resolves when the request is to look for a target, or has been
            displaced.
        head_since: Since when it is the first in the queue.
        remote_after: From when it may leave the data centre, if there is a
            target to leave to.
        is_displaced: Whether more urgent requests have displaced it.
    """

    late: bool
    priority: int
    returned: bool
    until: clock.Millis
    number: int
    wakeup: asyncio.Future[None]
    head_since: clock.Millis = 0.0
    remote_after: clock.Millis = float("-inf")
    is_displaced: bool = False

    def sort_key(self) -> tuple[bool, int, bool, clock.Millis, int]:
        """Returns the key by which the queue is sorted."""
        return (
            self.late,
            self.priority,
            not self.returned,
            self.until,
            self.number,
        )


# Returns the expected wait of a request behind some number of others.
ExpectWait = collections.abc.Callable[[int], clock.Millis]


class WaitQueue:
    """The waiting requests of one service at this entry."""

    def __init__(self):
        self._waiters: list[Waiter] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    def try_join(
        self,
        late: bool,
        priority: int,
        returned: bool,
        until: clock.Millis,
        now: clock.Millis,
        expect_wait: ExpectWait,
    ) -> Waiter | None:
        """Adds a request; displaces those that can't be served any more.

        Args:
            late: Whether the request can no longer be answered in time.
            priority: Its rank; 0 is the most urgent.
            returned: Whether its caller has been refused before.
            until: Until when it may wait, on the local clock.
            now: The time.
            expect_wait: Returns the expected wait behind a number of requests.

        Returns:
            None if the request would have to wait too long.
        """
        waiter = Waiter(
            late,
            priority,
            returned,
            until,
            next(self._numbers),
            asyncio.get_running_loop().create_future(),
            now,
        )
        ahead = bisect.bisect(
            self._waiters, waiter.sort_key(), key=Waiter.sort_key
        )
        if now + expect_wait(ahead) > until:
            return None
        self._waiters.insert(ahead, waiter)
        while len(self._waiters) > ahead + 1:
            last = self._waiters[-1]
            if now + expect_wait(len(self._waiters) - 1) <= last.until:
                break
            self._waiters.pop()
            last.is_displaced = True
            if not last.wakeup.done():
                last.wakeup.set_result(None)
        return waiter

    def mark_late(
        self, waiter: Waiter, until: clock.Millis, now: clock.Millis
    ) -> None:
        """Moves a request behind all that can still be answered in time.

        Args:
            waiter: The request.
            until: Until when it may wait now, on the local clock.
            now: The time.
        """
        was_queued = waiter in self._waiters
        self.leave(waiter, now)
        waiter.late = True
        waiter.until = until
        if was_queued:
            bisect.insort(self._waiters, waiter, key=Waiter.sort_key)
            waiter.head_since = now

    def leave(self, waiter: Waiter, now: clock.Millis) -> None:
        """Removes a request from the queue."""
        if waiter not in self._waiters:
            return
        was_first = self.is_first(waiter)
        self._waiters.remove(waiter)
        if was_first and self._waiters:
            self._waiters[0].head_since = now

    def is_first(self, waiter: Waiter) -> bool:
        """Returns whether a request is at the head of the queue."""
        return bool(self._waiters) and self._waiters[0] is waiter

    async def wait(self, waiter: Waiter, timeout_ms: clock.Millis) -> bool:
        """Waits for a wakeup or the timeout.

        Returns:
            False if more urgent requests have displaced this one.
        """
        # A wakeup may have come before the request was displaced.
        if not waiter.is_displaced:
            await asyncio.wait(
                [waiter.wakeup], timeout=clock.seconds(max(0.0, timeout_ms))
            )
        if waiter.wakeup.done():
            waiter.wakeup = asyncio.get_running_loop().create_future()
        return not waiter.is_displaced

    def wake(self) -> None:
        """Wakes the request at the head of the queue."""
        if self._waiters and not self._waiters[0].wakeup.done():
            self._waiters[0].wakeup.set_result(None)
