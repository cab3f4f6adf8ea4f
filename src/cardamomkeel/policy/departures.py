"""Remembers which targets have said in an answer that they leave."""

import collections

# More targets than leave a service of the largest deployment at a time. Marks
# outlive the row of their target, which may come back with a late heartbeat.
MAX_MARKS = 4096


class Departures:
    """The incarnations that leave; the oldest marks are dropped first."""

    def __init__(self, max_marks: int = MAX_MARKS):
        self._max_marks = max_marks
        self._marks: collections.OrderedDict[tuple, None] = (
            collections.OrderedDict()
        )

    def add(self, incarnation: tuple) -> None:
        """Marks an incarnation of a target; nothing takes this back.

        Args:
            incarnation: Its address, instance and start time.
        """
        self._marks[incarnation] = None
        if len(self._marks) > self._max_marks:
            self._marks.popitem(last=False)

    def __contains__(self, incarnation: tuple) -> bool:
        return incarnation in self._marks

    def __len__(self) -> int:
        return len(self._marks)
