"""The order in which requests wait for a slot, and which need not wait."""

import bisect
import dataclasses
import typing

from cardamomkeel import clock

Item = typing.TypeVar("Item")


@dataclasses.dataclass
class DeadlineQueue(typing.Generic[Item]):
    """Waiting requests, the earliest deadline first.

    Attributes:
        limit: How many may wait.
    """

    limit: int
    _deadlines: list[clock.Millis] = dataclasses.field(default_factory=list)
    _items: list[Item] = dataclasses.field(default_factory=list)

    def __len__(self) -> int:
        return len(self._items)

    def is_full(self) -> bool:
        """Tells whether no more may wait."""
        return len(self._items) >= self.limit

    def count_ahead(self, deadline: clock.Millis) -> int:
        """Returns how many go before a request with a deadline."""
        return bisect.bisect_right(self._deadlines, deadline)

    def add(self, item: Item, deadline: clock.Millis) -> None:
        """Adds a request behind those with the same deadline."""
        index = self.count_ahead(deadline)
        self._deadlines.insert(index, deadline)
        self._items.insert(index, item)

    def remove(self, item: Item) -> None:
        """Removes a request where it still waits."""
        for index, known in enumerate(self._items):
            if known is item:
                del self._deadlines[index]
                del self._items[index]
                return

    def items(self) -> list[Item]:
        """Returns the requests in their order."""
        return list(self._items)


def estimate_wait_ms(
    ahead: int, slots: int, latency_ms: clock.Millis
) -> clock.Millis:
    """Returns how long a request waits for a slot, in milliseconds.

    Args:
        ahead: How many requests go before it.
        slots: How many requests run at a time, all targets together.
        latency_ms: How long one runs; 0 where that is not known.
    """
    if slots == 0:
        return 0.0
    return ahead / slots * latency_ms
