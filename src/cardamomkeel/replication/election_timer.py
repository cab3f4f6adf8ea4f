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
# How long a candidate waits for votes, in election timeouts. A voter writes its
# vote to the disk before it answers.
VOTE_WAIT_TIMEOUTS = 5
# The random part of the pause after a lost campaign, in writes to a slow disk.
MAX_RETRY_WRITES = 2


@dataclasses.dataclass(frozen=True)
class Timings:
    """The heartbeat interval and the bounds of the election timeout."""

    heartbeat_ms: clock.Millis = 250.0
    election_least_ms: clock.Millis = 600.0
    election_most_ms: clock.Millis = 1200.0

    @property
    def vote_wait_ms(self) -> clock.Millis:
        """How long a candidate waits for the votes of others."""
        return VOTE_WAIT_TIMEOUTS * self.election_most_ms


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
        self._planned_at: clock.Millis = float("inf")

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

    def reset(self, now: clock.Millis, write_ms: clock.Millis = 0.0) -> None:
        """Restarts the timer with a full random timeout.

        Args:
            now: The time.
            write_ms: How long a write to the disk may take.
        """
        self._failed_campaigns = 0
        self._planned_at = float("inf")
        self.due_at = (
            now
            + write_ms
            + self._rng.uniform(
                self._timings.election_least_ms, self._timings.election_most_ms
            )
        )

    def wait_for_votes(self, now: clock.Millis) -> None:
        """Postpones the next campaign while votes are being written."""
        self._planned_at = self.due_at
        self.due_at = now + self._timings.vote_wait_ms

    def stop_waiting(self, write_ms: clock.Millis) -> None:
        """Restores the time before `wait_for_votes`.

        Args:
            write_ms: How long a write to the disk may take. Candidates whose
                votes crossed would otherwise campaign together again.
        """
        delay_ms = self._rng.uniform(0.0, MAX_RETRY_WRITES * write_ms)
        self.due_at = min(self.due_at, self._planned_at + delay_ms)

    def postpone(self, ms: clock.Millis) -> None:
        """Excludes a time in which the replica could do nothing."""
        self.due_at += ms
        self._planned_at += ms

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
