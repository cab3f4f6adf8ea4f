"""How much work one target may be given, and how much it has."""

import dataclasses

from cardamomkeel import clock


@dataclasses.dataclass
class Slots:
    """The slots of one target, counted by its owner.

    Attributes:
        slots: How many requests the target runs when warm.
        cold_slots: How many it runs in cold start.
        limit: How many it may be given now.
        in_flight: How many it has been given and not answered.
    """

    slots: int
    cold_slots: int = 1
    limit: int = 1
    in_flight: int = 0
    _successes: int = 0
    _residual: int = 0
    _residual_until: clock.Millis = float("-inf")

    def inherit(self, residual: int, until: clock.Millis) -> None:
        """Counts work of an earlier owner as in flight until a time."""
        self._residual = residual
        self._residual_until = until

    def residual(self, now: clock.Millis) -> int:
        """Returns how many slots an earlier owner's work may take."""
        return self._residual if now < self._residual_until else 0

    def residual_until(self) -> clock.Millis:
        """Returns when the work of an earlier owner has ended."""
        return self._residual_until

    def free(self, now: clock.Millis) -> int:
        """Returns how many more requests may be given now."""
        return max(0, self.limit - self.in_flight - self.residual(now))

    def take(self) -> None:
        """Counts a request as given."""
        self.in_flight += 1

    def give_back(self) -> None:
        """Counts a request as ended."""
        self.in_flight -= 1

    def make_cold(self) -> None:
        """Falls back to what a target in cold start can bear."""
        self.limit = min(self.cold_slots, self.slots)
        self._successes = 0

    def note_success(self) -> None:
        """Raises the limit by one after as many successes as it counts."""
        self._successes += 1
        if self.limit < self.slots and self._successes >= self.limit:
            self.limit += 1
            self._successes = 0
