"""One replica of the log: votes, replication and commitment.

`log` keeps the entries, `election_timer` decides when to campaign.

A replica does no I/O except through its storage: the caller passes in the
time and the received messages, and sends the returned messages. The protocol
is Raft with pre-vote, leadership transfer, a leader that steps down without
contact to a majority, and membership changes of one member at a time.
"""

import dataclasses
import enum
import random

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.replication import election_timer
from cardamomkeel.replication import log as log_lib
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import storage as storage_lib
from cardamomkeel.wire import control_pb2


class Role(enum.Enum):
    """The role of a replica in its group."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclasses.dataclass(frozen=True)
class Timings:
    """The heartbeat interval and the bounds of the election timeout."""

    heartbeat_ms: clock.Millis = 250.0
    election_least_ms: clock.Millis = 600.0
    election_most_ms: clock.Millis = 1200.0


@dataclasses.dataclass
class Progress:
    """The replication progress of one other member, kept by the leader."""

    next_index: int
    match_index: int = 0
    # When the newest request that the member acknowledged was sent.
    acked_sent_at: clock.Millis = float("-inf")
    sent_at: clock.Millis = float("-inf")


class Replica:
    """The state of one member and its transitions on time and messages.

    Attributes:
        id: The member id of this replica.
        role: The role of this replica.
        term: The newest term that this replica has seen.
        leader: The member id of the current leader; empty if unknown.
        members: The membership that this replica uses.
        commit_index: The index of the last committed entry.
        log: The log of this replica.
        progress: The progress of each other member; empty unless this
            replica is the leader.
    """

    def __init__(
        self,
        stored: storage_lib.StoredState,
        storage: storage_lib.Storage,
        timings: Timings,
        rng: random.Random,
        now: clock.Millis,
    ):
        self._storage = storage
        self._timings = timings
        self._voted_for = stored.hard_state.voted_for
        self._votes: set[str] = set()
        self._campaign_term = 0
        self._term_start = 0
        self._leader_since = now
        self.id = stored.hard_state.member_id
        self.term = stored.hard_state.term
        self.role = Role.FOLLOWER
        self.leader = ""
        # The last leader that this replica followed.
        self._last_leader = ""
        self.log = log_lib.Log(stored, storage)
        self.commit_index = stored.snapshot.index
        self.members = self.log.find_members()
        self.progress: dict[str, Progress] = {}
        self._leader_seen_at = float("-inf")
        self._election_timer = election_timer.ElectionTimer(
            timings.heartbeat_ms,
            timings.election_least_ms,
            timings.election_most_ms,
            rng,
        )
        self._election_timer.start(now, self._get_position())

    def _get_position(self) -> int:
        """Returns the position of this replica in the order of campaigns.

        The last leader is probably down and comes last.
        """
        order = sorted(
            members_lib.voters(self.members),
            key=lambda voter: (voter == self._last_leader, voter),
        )
        return order.index(self.id) if self.id in order else len(order)

    # Time and role.

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter."""
        return self.id in members_lib.voters(self.members)

    @property
    def is_leader(self) -> bool:
        """Whether this replica is the leader."""
        return self.role is Role.LEADER

    @property
    def is_ready(self) -> bool:
        """Whether this replica leads and has committed an entry of its term."""
        return self.is_leader and self.commit_index >= self._term_start

    def next_tick_at(self, now: clock.Millis) -> clock.Millis:
        """Returns when `tick` should be called next."""
        if self.is_leader or self._election_timer.due_at <= now:
            return now + self._timings.heartbeat_ms
        return self._election_timer.due_at

    def tick(self, now: clock.Millis) -> list[control_pb2.VoteRequest]:
        """Handles the passing of time.

        A voter whose election timer has run out starts a campaign. A leader
        without contact to a majority, or one that was removed from the
        group, steps down.

        Returns:
            The vote requests to send.
        """
        if self.is_leader:
            self._check_quorum(now)
            self._check_membership(now)
            return []
        if now < self._election_timer.due_at or not self.is_voter:
            return []
        self._election_timer.plan_next_campaign(now, self._get_position())
        return self._start_campaign(now, pre_vote=True)

    def _check_quorum(self, now: clock.Millis) -> None:
        """Steps down without recent contact to a majority."""
        oldest_ack_at = now - self._timings.election_least_ms
        if max(self.quorum_acked_at(now), self._leader_since) < oldest_ack_at:
            self._become_follower(now, self.term, "")

    def _check_membership(self, now: clock.Millis) -> None:
        """Steps down once the removal of this leader is committed."""
        if (
            self.is_leader
            and not self.is_voter
            and not self._has_uncommitted_change()
        ):
            self._become_follower(now, self.term, "")

    # Elections.

    def _save_hard_state(self, term: int, voted_for: str) -> None:
        self.term = term
        self._voted_for = voted_for
        self._storage.save_hard_state(
            control_pb2.HardState(
                term=term,
                voted_for=voted_for,
                member_id=self.id,
                formed=True,
            )
        )

    def _become_follower(
        self, now: clock.Millis, term: int, leader: str
    ) -> None:
        if term > self.term:
            self._save_hard_state(term, "")
        self.role = Role.FOLLOWER if self.is_voter else Role.LEARNER
        self.leader = leader
        self.progress = {}
        self._election_timer.reset(now)

    def _start_campaign(
        self, now: clock.Millis, pre_vote: bool, is_transfer: bool = False
    ) -> list[control_pb2.VoteRequest]:
        self.leader = ""
        self.role = Role.PRE_CANDIDATE if pre_vote else Role.CANDIDATE
        if not pre_vote:
            self._save_hard_state(self.term + 1, self.id)
        self._campaign_term = self.term + 1 if pre_vote else self.term
        self._votes = {self.id}
        if len(self._votes) >= members_lib.quorum(self.members):
            return self._handle_majority(now)
        return [
            control_pb2.VoteRequest(
                to=voter,
                candidate=self.id,
                term=self._campaign_term,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                pre_vote=pre_vote,
                handed_over=is_transfer,
            )
            for voter in members_lib.voters(self.members)
            if voter != self.id
        ]

    def make_campaign_request(self) -> control_pb2.StandRequest | None:
        """Returns the request that transfers the leadership.

        It goes to the voter with the longest replicated log.

        Returns:
            None if this replica is not the leader, or no other voter has
            acknowledged an entry.
        """
        voters = set(members_lib.voters(self.members))
        others = [
            (progress.match_index, progress.acked_sent_at, member)
            for member, progress in self.progress.items()
            if member in voters and progress.match_index > 0
        ]
        if not self.is_leader or not others:
            return None
        _, _, member = max(others)
        return control_pb2.StandRequest(
            to=member, leader=self.id, term=self.term
        )

    def is_in_sync(self, member: str) -> bool:
        """Returns whether a member has every entry of this leader."""
        progress = self.progress.get(member)
        return progress is not None and (
            progress.match_index >= self.log.last_index
        )

    def handle_campaign_request(
        self, now: clock.Millis, req: control_pb2.StandRequest
    ) -> list[control_pb2.VoteRequest]:
        """Handles a leadership transfer: campaigns at once.

        Returns:
            The vote requests to send; none if the request is not from the
            current leader or this replica is not a voter.
        """
        expected = (self.id, self.leader, self.term)
        if (req.to, req.leader, req.term) != expected or not self.is_voter:
            return []
        self._election_timer.reset(now)
        return self._start_campaign(now, pre_vote=False, is_transfer=True)

    def _handle_majority(
        self, now: clock.Millis
    ) -> list[control_pb2.VoteRequest]:
        """Starts the election after a won pre-vote, or becomes the leader."""
        if self.role is Role.PRE_CANDIDATE:
            return self._start_campaign(now, pre_vote=False)
        self.role = Role.LEADER
        self.leader = self._last_leader = self.id
        self._leader_since = now
        self.progress = {}
        self._track_members()
        self._term_start = self.log.last_index + 1
        self._append_as_leader([control_pb2.LogEntry(noop=True)])
        self.sync()
        return []

    def handle_vote(
        self, now: clock.Millis, req: control_pb2.VoteRequest
    ) -> control_pb2.VoteReply:
        """Grants or refuses a vote."""
        reason = self._refuse_vote(now, req)
        if not reason and not req.pre_vote:
            if req.term > self.term:
                self._become_follower(now, req.term, "")
            self._save_hard_state(self.term, req.candidate)
            self._election_timer.reset(now)
        return control_pb2.VoteReply(
            term=self.term, granted=not reason, reason=reason
        )

    def _refuse_vote(
        self, now: clock.Millis, req: control_pb2.VoteRequest
    ) -> str:
        """Returns the reason to refuse a vote; empty to grant it."""
        if req.to != self.id:
            return "the vote of an earlier disk does not count"
        # The local membership is not checked: it may be older than the one by
        # which the candidate counts votes.
        if req.term < self.term:
            return "the term is old"
        # A member that lost contact to a live leader must not disrupt it. In
        # a leadership transfer the leader itself has requested the campaign.
        if self.has_leader_contact(now) and not req.handed_over:
            return "a leader is live"
        if (req.last_term, req.last_index) < (
            self.log.last_term,
            self.log.last_index,
        ):
            return "the candidate's log is behind"
        voted_for_other = self._voted_for not in ("", req.candidate)
        if not req.pre_vote and req.term == self.term and voted_for_other:
            return "the vote of this term is given"
        return ""

    def on_vote_reply(
        self,
        now: clock.Millis,
        req: control_pb2.VoteRequest,
        reply: control_pb2.VoteReply,
    ) -> list[control_pb2.VoteRequest]:
        """Counts a vote and returns the requests of the next round, if any."""
        if reply.term > self.term and not reply.granted:
            self._become_follower(now, reply.term, "")
            return []
        expected_role = Role.PRE_CANDIDATE if req.pre_vote else Role.CANDIDATE
        if self.role is not expected_role or req.term != self._campaign_term:
            return []
        if not reply.granted:
            return []
        self._votes.add(req.to)
        counted = self._votes & set(members_lib.voters(self.members))
        if len(counted) < members_lib.quorum(self.members):
            return []
        return self._handle_majority(now)

    # Leader.

    def _track_members(self) -> None:
        ids = {member.id for member in self.members.members} - {self.id}
        for removed_id in set(self.progress) - ids:
            del self.progress[removed_id]
        for member in ids - set(self.progress):
            self.progress[member] = Progress(next_index=self.log.last_index + 1)

    def _append_as_leader(self, bodies: list[control_pb2.LogEntry]) -> None:
        index = self.log.last_index
        for body in bodies:
            index += 1
            body.index = index
            body.term = self.term
        self.log.append(bodies)

    def sync(self) -> None:
        """Syncs all entries, and counts this replica for their commitment."""
        self.log.sync()
        self._advance_commit()

    def propose(
        self, commands: list[control_pb2.Command]
    ) -> tuple[int, int] | None:
        """Appends commands to the log of the leader.

        The caller has to call `sync` afterwards. It may send the entries to
        other members before that, so that all disks write at the same time.

        Returns:
            The first and last index, or None if this replica is not a ready
            leader.
        """
        if not self.is_ready:
            return None
        first = self.log.last_index + 1
        self._append_as_leader(
            [control_pb2.LogEntry(command=command) for command in commands]
        )
        return first, self.log.last_index

    def propose_members(self, changed: control_pb2.Members) -> int | None:
        """Appends a membership change of one member.

        Returns:
            The index of the change, or None if an earlier change is not
            committed or this replica is not a ready leader.
        """
        if not self.is_ready or self._has_uncommitted_change():
            return None
        self._append_as_leader([control_pb2.LogEntry(members=changed)])
        self.members = changed
        self._track_members()
        self.sync()
        return self.log.last_index

    def _has_uncommitted_change(self) -> bool:
        return self.log.has_members_after(self.commit_index)

    def append_due_at(self, member: str) -> clock.Millis:
        """Returns when the next append request to a member is due."""
        progress = self.progress.get(member)
        if progress is None:
            return float("inf")
        if progress.next_index <= self.log.last_index:
            return float("-inf")
        return progress.sent_at + self._timings.heartbeat_ms

    def needs_snapshot(self, member: str) -> bool:
        """Returns whether a member lacks entries that were compacted here."""
        progress = self.progress.get(member)
        return (
            progress is not None and progress.next_index < self.log.first_index
        )

    def make_snapshot_request(
        self, now: clock.Millis, member: str
    ) -> control_pb2.SnapshotRequest:
        """Returns a request that sends the newest snapshot to a member."""
        self.progress[member].sent_at = now
        return control_pb2.SnapshotRequest(
            to=member,
            leader=self.id,
            term=self.term,
            snapshot=self.log.read_snapshot(),
        )

    def make_append_request(
        self, now: clock.Millis, member: str
    ) -> control_pb2.AppendRequest:
        """Returns the next entries for a member, or a heartbeat."""
        progress = self.progress[member]
        progress.sent_at = now
        previous = progress.next_index - 1
        return control_pb2.AppendRequest(
            to=member,
            leader=self.id,
            term=self.term,
            previous_index=previous,
            previous_term=self.log.term_at(previous),
            commit=self.commit_index,
            entries=self.log.batch(progress.next_index),
        )

    def on_append_reply(
        self,
        now: clock.Millis,
        req: control_pb2.AppendRequest,
        sent_at: clock.Millis,
        reply: control_pb2.AppendReply,
    ) -> None:
        """Updates the progress of a member after an append request."""
        if reply.wrong_member:
            return
        if self._is_stale_reply(now, req.term, reply.term):
            return
        progress = self.progress.get(req.to)
        if progress is None:
            return
        progress.acked_sent_at = max(progress.acked_sent_at, sent_at)
        if reply.accepted:
            self._record_match(progress, reply.match_index)
        else:
            hint = min(reply.hint_index, progress.next_index - 1)
            progress.next_index = max(1, progress.match_index + 1, hint)

    def on_snapshot_reply(
        self,
        now: clock.Millis,
        req: control_pb2.SnapshotRequest,
        sent_at: clock.Millis,
        reply: control_pb2.SnapshotReply,
    ) -> None:
        """Updates the progress of a member after a snapshot request."""
        if reply.wrong_member:
            return
        if self._is_stale_reply(now, req.term, reply.term):
            return
        progress = self.progress.get(req.to)
        if progress is None:
            return
        progress.acked_sent_at = max(progress.acked_sent_at, sent_at)
        self._record_match(progress, reply.match_index)

    def _is_stale_reply(
        self, now: clock.Millis, request_term: int, reply_term: int
    ) -> bool:
        if reply_term > self.term:
            self._become_follower(now, reply_term, "")
        return not self.is_leader or request_term != self.term

    def _record_match(self, progress: Progress, index: int) -> None:
        progress.match_index = max(progress.match_index, index)
        progress.next_index = max(progress.next_index, index + 1)
        progress.next_index = min(progress.next_index, self.log.last_index + 1)
        self._advance_commit()

    def _advance_commit(self) -> None:
        if not self.is_leader:
            return
        index = self._quorum_value(
            {m: float(p.match_index) for m, p in self.progress.items()},
            float(self.log.synced_index),
        )
        if (
            index > self.commit_index
            and self.log.term_at(int(index)) == self.term
        ):
            self.commit_index = int(index)

    def _quorum_value(self, others: dict[str, float], own: float) -> float:
        """Returns the greatest value that a majority of voters has reached."""
        values = sorted(
            (
                own if voter == self.id else others.get(voter, float("-inf"))
                for voter in members_lib.voters(self.members)
            ),
            reverse=True,
        )
        if not values:
            return float("-inf")
        return values[members_lib.quorum(self.members) - 1]

    def quorum_acked_at(self, now: clock.Millis) -> clock.Millis:
        """Returns the latest time at which a majority followed this leader."""
        return self._quorum_value(
            {m: p.acked_sent_at for m, p in self.progress.items()}, now
        )

    def has_leader_contact(self, now: clock.Millis) -> bool:
        """Returns whether this member is a leader or in contact with one."""
        min_ms = self._timings.election_least_ms
        return self.is_leader or now < self._leader_seen_at + min_ms

    def is_live(self, member: str, now: clock.Millis) -> bool:
        """Returns whether a member has recently answered this leader."""
        if member == self.id:
            return True
        progress = self.progress.get(member)
        if progress is None:
            return False
        return progress.acked_sent_at >= now - self._timings.election_least_ms

    def is_caught_up(self, member: str, now: clock.Millis) -> bool:
        """Returns whether a live member has every committed entry."""
        if not self.is_live(member, now):
            return False
        return self.progress[member].match_index >= self.commit_index

    # Follower.

    def _accept_leader(self, now: clock.Millis, term: int, leader: str) -> None:
        self._become_follower(now, term, leader)
        self._leader_seen_at = now
        self._last_leader = leader

    def handle_append(
        self, now: clock.Millis, req: control_pb2.AppendRequest
    ) -> control_pb2.AppendReply:
        """Stores and syncs the entries of a leader."""
        if req.to != self.id:
            return control_pb2.AppendReply(term=self.term, wrong_member=True)
        if req.term < self.term:
            return control_pb2.AppendReply(term=self.term)
        self._accept_leader(now, req.term, req.leader)
        if req.previous_index < self.log.snapshot.index:
            # Every leader has all committed entries, so both logs match up
            # to the commit index.
            return control_pb2.AppendReply(
                term=self.term, accepted=True, match_index=self.commit_index
            )
        if self.log.term_at(req.previous_index) != req.previous_term:
            return control_pb2.AppendReply(
                term=self.term,
                hint_index=self._find_hint_index(req.previous_index),
            )
        self._store_entries(list(req.entries))
        match = req.previous_index + len(req.entries)
        self.commit_index = max(self.commit_index, min(req.commit, match))
        return control_pb2.AppendReply(
            term=self.term, accepted=True, match_index=match
        )

    def _find_hint_index(self, index: int) -> int:
        """Returns an index from which the leader should send entries."""
        if index > self.log.last_index:
            return self.log.last_index + 1
        term = self.log.term_at(index)
        while (
            index > self.commit_index + 1
            and self.log.term_at(index - 1) == term
        ):
            index -= 1
        return index

    def _store_entries(self, entries: list[control_pb2.LogEntry]) -> None:
        new = [e for e in entries if self.log.term_at(e.index) != e.term]
        if not new:
            # A former leader may hold entries that it has not synced yet.
            self.sync()
            return
        first = new[0].index
        self._check_not_committed(first)
        new = [e for e in entries if e.index >= first]
        replaces = first <= self.log.last_index
        if replaces:
            self.log.truncate(first - 1)
        self.log.append(new)
        self.sync()
        if replaces or any(entry.HasField("members") for entry in new):
            self.members = self.log.find_members()

    def _check_not_committed(self, index: int) -> None:
        """Raises StorageFailedError if a committed entry would be replaced."""
        if index > self.commit_index:
            return
        raise storage_lib.StorageFailedError(
            errors.StorageError(
                f"a leader sent another entry for index {index}, but "
                f"{self.commit_index} is committed here",
                "stop this control VM, see that no data folder was copied "
                "or restored from an older state, and start it with an "
                "empty one",
            )
        )

    def handle_snapshot(
        self, now: clock.Millis, req: control_pb2.SnapshotRequest
    ) -> control_pb2.SnapshotReply:
        """Installs the snapshot of a leader in place of the log."""
        if req.to != self.id:
            return control_pb2.SnapshotReply(wrong_member=True)
        if req.term < self.term:
            return control_pb2.SnapshotReply(term=self.term)
        self._accept_leader(now, req.term, req.leader)
        snapshot = req.snapshot
        if snapshot.index > self.commit_index:
            self.log.install(snapshot)
            self.commit_index = snapshot.index
            self.members = self.log.find_members()
        return control_pb2.SnapshotReply(
            term=self.term, match_index=snapshot.index
        )
