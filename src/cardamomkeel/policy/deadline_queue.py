"""Queue of requests that wait for a slot, ordered by deadline."""

import bisect
import dataclasses
import typing

from cardamomkeel import clock

Item = typing.TypeVar("Item")


@dataclasses.dataclass
class DeadlineQueue(typing.Generic[Item]):
    """Waiting requests, earliest deadline first.

    Attributes:
        limit: Capacity of the queue.
    """

    limit: int
    _deadlines: list[clock.Millis] = dataclasses.field(default_factory=list)
    _items: list[Item] = dataclasses.field(default_factory=list)

    def __len__(self) -> int:
        return len(self._items)

    def is_full(self) -> bool:
        """Returns whether the queue has reached its limit."""
        return len(self._items) >= self.limit

    def count_ahead(self, deadline: clock.Millis) -> int:
        """Returns how many requests are served before one with a deadline."""
        return bisect.bisect_right(self._deadlines, deadline)

    def add(self, item: Item, deadline: clock.Millis) -> None:
        """Adds a request after those with the same deadline."""
        index = self.count_ahead(deadline)
        self._deadlines.insert(index, deadline)
        self._items.insert(index, item)

    def remove(self, item: Item) -> None:
        """Removes a request if it is still waiting."""
        for index, known in enumerate(self._items):
            if known is item:
                del self._deadlines[index]
                del self._items[index]
                return

    def items(self) -> list[Item]:
        """Returns the requests in the order in which they are served."""
        return list(self._items)


def estimate_wait_ms(
    ahead: int, slots: int, latency_ms: clock.Millis
) -> clock.Millis:
    """Returns how long a request is expected to wait for a slot.

    Args:
        ahead: Number of requests served before it.
        slots: Number of concurrent requests of all targets together.
        latency_ms: Latency of one request; 0 if unknown.
    """
    if slots == 0:
        return 0.0
    return ahead / slots * latency_ms
