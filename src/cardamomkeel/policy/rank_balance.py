"""Holds back less urgent requests that are served better than urgent ones.

Entries don't see the requests that wait at other entries, so a less urgent
request takes the slot that an urgent one at another entry waits for. If its
objective is longer, it also has more time to find a slot, and under overload
the less urgent requests would be served best. So each entry compares how the
last requests of each rank ended, and refuses as many of the less urgent ones
as it takes to make them end no better than the more urgent ones. None is held
back once its rank is served less than half as well as all.

Answers the load of a service at 1.6 times its room whose routes have different
ranks and objectives.
"""

import dataclasses

from cardamomkeel import clock

# Half-life of the counts: some requests of each rank at an entry that gets a
# few a second.
HALF_LIFE_MS = 3000.0
# Another shortage this long after the last one is a new one.
FORGET_MS = 3000.0
# How fast the share of refused requests follows the difference.
GAIN = 0.15
MAX_HELD_SHARE = 0.7
# Ranks with fewer requests are not compared.
MIN_REQUESTS = 2.0
# A rank that is served less than this share of the mean is not held back.
LEAST_SHARE_OF_MEAN = 0.5


@dataclasses.dataclass(slots=True)
class _Rank:
    """The last requests of one rank."""

    asked: float = 0.0
    in_time: float = 0.0
    held: float = 0.0
    updated_at: clock.Millis = 0.0

    def decay(self, now: clock.Millis) -> None:
        """Lets old requests count less."""
        factor = 0.5 ** ((now - self.updated_at) / HALF_LIFE_MS)
        self.asked *= factor
        self.in_time *= factor
        self.updated_at = now

    def share(self) -> float:
        """Returns the share that was answered in time."""
        return self.in_time / self.asked


class RankBalance:
    """The ranks of one service at one entry; 0 is the most urgent."""

    def __init__(self):
        self._ranks: dict[int, _Rank] = {}
        self._short_at = float("-inf")

    def record(
        self, rank: int, in_time: bool, is_short: bool, now: clock.Millis
    ) -> None:
        """Records how a request ended and adapts the held share of its rank.

        Args:
            rank: Its rank.
            in_time: Whether it was answered within its objective.
            is_short: Whether its service is short of room. If it is not, the
                request tells nothing of how ranks share the room.
            now: The time.
        """
        if not is_short:
            return
        self._note_shortage(now)
        known = self._ranks.setdefault(rank, _Rank(updated_at=now))
        for other in self._ranks.values():
            other.decay(now)
        known.asked += 1
        known.in_time += in_time
        for number, other in self._ranks.items():
            self._adapt(number, other)

    def _adapt(self, number: int, rank: _Rank) -> None:
        urgent = [
            other.share()
            for position, other in self._ranks.items()
            if position < number and other.asked >= MIN_REQUESTS
        ]
        if not urgent or rank.asked < MIN_REQUESTS:
            rank.held = 0.0
            return
        asked = sum(other.asked for other in self._ranks.values())
        mean = sum(other.in_time for other in self._ranks.values()) / asked
        too_much = rank.share() - min(urgent)
        if rank.share() < LEAST_SHARE_OF_MEAN * mean:
            too_much = -1.0
        held = rank.held + GAIN * too_much
        rank.held = min(MAX_HELD_SHARE, max(0.0, held))

    def held_share(self, rank: int, now: clock.Millis) -> float:
        """Returns which share of the requests of a rank is to be refused now.

        Args:
            rank: The rank.
            now: The time, while the service is short of room.
        """
        self._note_shortage(now)
        known = self._ranks.get(rank)
        return 0.0 if known is None else known.held

    def _note_shortage(self, now: clock.Millis) -> None:
        """Begins anew if the last shortage ended some time ago."""
        if now - self._short_at > FORGET_MS:
            self._ranks.clear()
        self._short_at = now
