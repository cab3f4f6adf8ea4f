"""What a leader knows of the other members of its group."""

import dataclasses

from cardamomkeel import clock
from cardamomkeel.replication import log as log_lib
from cardamomkeel.replication import members as members_lib
from cardamomkeel.wire import control_pb2


@dataclasses.dataclass
class Progress:
    """The replication progress of one other member."""

    next_index: int
    match_index: int = 0
    # When the newest request that the member acknowledged was sent.
    acked_sent_at: clock.Millis = float("-inf")
    sent_at: clock.Millis = float("-inf")

    def record_match(self, index: int, last_index: int) -> None:
        """Records that the member has all entries up to an index."""
        self.match_index = max(self.match_index, index)
        self.next_index = max(self.next_index, index + 1)
        self.next_index = min(self.next_index, last_index + 1)

    def record_mismatch(self, hint_index: int) -> None:
        """Records that the entry before the next one differs there."""
        hint = min(hint_index, self.next_index - 1)
        self.next_index = max(1, self.match_index + 1, hint)


class Followers(dict[str, Progress]):
    """The progress of each other member, by its id; empty without a leader."""

    def __init__(self, own_id: str, log: log_lib.Log):
        """Creates an empty collection.

        Args:
            own_id: The member id of the leader.
            log: The log of the leader.
        """
        super().__init__()
        self._own_id = own_id
        self._log = log

    def track(self, members: control_pb2.Members) -> None:
        """Adds and removes members after a membership change."""
        ids = {member.id for member in members.members} - {self._own_id}
        for removed_id in set(self) - ids:
            del self[removed_id]
        for member in ids - set(self):
            self[member] = Progress(next_index=self._log.last_index + 1)

    def is_in_sync(self, member: str) -> bool:
        """Returns whether a member has every entry of the leader."""
        return (
            member in self and self[member].match_index >= self._log.last_index
        )

    def needs_snapshot(self, member: str) -> bool:
        """Returns whether a member lacks entries that were compacted here."""
        return (
            member in self and self[member].next_index < self._log.first_index
        )

    def append_due_at(
        self, member: str, heartbeat_ms: clock.Millis
    ) -> clock.Millis:
        """Returns when the next append request to a member is due."""
        progress = self.get(member)
        if progress is None:
            return float("inf")
        if progress.next_index <= self._log.last_index:
            return float("-inf")
        return progress.sent_at + heartbeat_ms

    def find_successor(self, members: control_pb2.Members) -> str | None:
        """Returns the voter with the longest replicated log.

        Returns:
            None if no other voter has acknowledged an entry.
        """
        voters = set(members_lib.voters(members))
        candidates = [
            (progress.match_index, progress.acked_sent_at, member)
            for member, progress in self.items()
            if member in voters and progress.match_index > 0
        ]
        return max(candidates)[-1] if candidates else None

    def majority_match_index(self, members: control_pb2.Members) -> int:
        """Returns the last index that a majority of voters has on disk."""
        return members_lib.find_majority_value(
            members,
            {member: p.match_index for member, p in self.items()}
            | {self._own_id: self._log.synced_index},
            0,
        )

    def majority_acked_at(
        self, members: control_pb2.Members, now: clock.Millis
    ) -> clock.Millis:
        """Returns the latest time at which a majority followed the leader."""
        return members_lib.find_majority_value(
            members,
            {member: p.acked_sent_at for member, p in self.items()}
            | {self._own_id: now},
            float("-inf"),
        )
