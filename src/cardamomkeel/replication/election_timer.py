"""Decides when a replica campaigns to become the leader."""

import dataclasses
import random

from cardamomkeel import clock

# The delay of the first campaign after a start, in heartbeats. It can be short:
# if there is a live leader, its followers refuse the pre-vote.
FIRST_CAMPAIGN_MIN_HEARTBEATS = 0.1
FIRST_CAMPAIGN_MAX_HEARTBEATS = 0.2
# The delay of the next campaign after a failed one, in heartbeats. Each further
# failure doubles it, up to an election timeout, because votes take longer over
# a slow link.
NEXT_CAMPAIGN_MIN_HEARTBEATS = 0.25
NEXT_CAMPAIGN_MAX_HEARTBEATS = 0.5
# Each voter adds this times its position to either delay, so that two seldom
# campaign at the same time.
POSITION_STEP_HEARTBEATS = 0.5


@dataclasses.dataclass(frozen=True)
class Timings:
    """The heartbeat interval and the bounds of the election timeout."""

    heartbeat_ms: clock.Millis = 250.0
    election_least_ms: clock.Millis = 600.0
    election_most_ms: clock.Millis = 1200.0


class ElectionTimer:
    """The time of the next campaign of one replica.

    Attributes:
        due_at: When the next campaign starts.
    """

    def __init__(self, timings: Timings, rng: random.Random):
        """Creates a timer that is not set.

        Args:
            timings: The bounds of the election timeout.
            rng: Varies the times, so that replicas seldom campaign together.
        """
        self._timings = timings
        self._rng = rng
        # Campaigns that failed since the timer was last reset.
        self._failed_campaigns = 0
        self.due_at: clock.Millis = float("inf")

    def start(self, now: clock.Millis, position: int) -> None:
        """Sets the first, short timeout after the start of the replica.

        After a power loss no replica is the leader, and a full timeout would
        delay the first election.

        Args:
            now: The time.
            position: The position of this replica in the order of campaigns.
        """
        self.due_at = now + self._delay_ms(
            position,
            FIRST_CAMPAIGN_MIN_HEARTBEATS,
            FIRST_CAMPAIGN_MAX_HEARTBEATS,
        )

    def reset(self, now: clock.Millis) -> None:
        """Restarts the timer with a full random timeout."""
        self._failed_campaigns = 0
        self.due_at = now + self._rng.uniform(
            self._timings.election_least_ms, self._timings.election_most_ms
        )

    def plan_next_campaign(self, now: clock.Millis, position: int) -> None:
        """Sets the timer for the next campaign if the one that starts fails.

        Args:
            now: The time.
            position: The position of this replica in the order of campaigns.
        """
        delay_ms = self._delay_ms(
            position,
            NEXT_CAMPAIGN_MIN_HEARTBEATS,
            NEXT_CAMPAIGN_MAX_HEARTBEATS,
        )
        delay_ms *= 2**self._failed_campaigns
        if delay_ms >= self._timings.election_most_ms:
            self.reset(now)
            return
        self._failed_campaigns += 1
        self.due_at = now + delay_ms

    def _delay_ms(
        self, position: int, min_heartbeats: float, max_heartbeats: float
    ) -> clock.Millis:
        heartbeats = position * POSITION_STEP_HEARTBEATS + self._rng.uniform(
            min_heartbeats, max_heartbeats
        )
        return heartbeats * self._timings.heartbeat_ms
