"""One replica of the log: votes, replication and commitment.

`log` keeps the entries, `followers` what the leader knows of other members, and
`election_timer` decides when to campaign.

A replica does no I/O except through its storage: the caller passes in the
time and the received messages, and sends the returned messages. The protocol
is Raft with pre-vote, leadership transfer, a leader that steps down without
contact to a majority, and membership changes of one member at a time.
"""

import enum
import random

from cardamomkeel import clock
from cardamomkeel.replication import election_timer
from cardamomkeel.replication import followers as followers_lib
from cardamomkeel.replication import log as log_lib
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import storage as storage_lib
from cardamomkeel.replication import write_delay
from cardamomkeel.wire import control_pb2

# An acknowledgement takes a write of the member, and is read after a write of
# the leader. The request after the last acknowledged one is sent only then, and
# takes as long.
WRITES_PER_ACK = 4


class Role(enum.Enum):
    """The role of a replica in its group."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


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
        followers: The progress of each other member; empty unless this
            replica is the leader.
    """

    def __init__(
        self,
        stored: storage_lib.StoredState,
        storage: storage_lib.Storage,
        timings: election_timer.Timings,
        rng: random.Random,
        now: clock.Millis,
    ):
        self._storage = storage
        self._timings = timings
        self._voted_for = stored.hard_state.voted_for
        self._pre_votes: set[str] = set()
        # The votes of this term. They count while this replica prepares its
        # next campaign as well: some are written for long.
        self._votes: set[str] = set()
        # Voters that are likely to answer, while a candidate waits for them.
        self._awaited: set[str] = set()
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
        self.followers = followers_lib.Followers(self.id, self.log)
        self._leader_seen_at = float("-inf")
        self._own_writes, self._others_writes = (
            write_delay.WriteDelay(timings.heartbeat_ms, timings.vote_wait_ms)
            for _ in range(2)
        )
        self._election_timer = election_timer.ElectionTimer(timings, rng)
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
        return self._start_pre_vote(now)

    def record_write(self, now: clock.Millis, took_ms: clock.Millis) -> None:
        """Excludes the time of a write to the disk from the timeouts.

        Args:
            now: The time at which the write ended.
            took_ms: How long it took, and nothing else was done.
        """
        self._own_writes.record(now, took_ms)
        self._election_timer.postpone(took_ms)

    def write_allowance_ms(self, now: clock.Millis) -> clock.Millis:
        """Returns how much longer members may take because of slow disks."""
        return max(
            self._own_writes.recent_ms(now), self._others_writes.recent_ms(now)
        )

    def ack_delay_ms(self, now: clock.Millis) -> clock.Millis:
        """Returns by how much slow disks may delay an acknowledgement."""
        return WRITES_PER_ACK * self.write_allowance_ms(now)

    def _oldest_ack_at(self, now: clock.Millis) -> clock.Millis:
        """Returns the earliest time of a request that shows a member live."""
        return now - self._timings.election_least_ms - self.ack_delay_ms(now)

    def _check_quorum(self, now: clock.Millis) -> None:
        """Steps down without recent contact to a majority."""
        oldest_ack_at = self._oldest_ack_at(now)
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
        self.followers.clear()
        self._votes = set()
        self._reset_election_timer(now)

    def _reset_election_timer(self, now: clock.Millis) -> None:
        self._election_timer.reset(now, self._own_writes.recent_ms(now))

    def _has_majority(self, votes: set[str]) -> bool:
        counted = votes & set(members_lib.voters(self.members))
        return len(counted) >= members_lib.quorum(self.members)

    def _start_pre_vote(
        self, now: clock.Millis
    ) -> list[control_pb2.VoteRequest]:
        """Asks the other voters whether they would vote for this replica."""
        self.leader = ""
        self.role = Role.PRE_CANDIDATE
        self._pre_votes = {self.id}
        if self._has_majority(self._pre_votes):
            return self._start_election(now)
        return self._make_vote_requests(self.term + 1, pre_vote=True)

    def _start_election(
        self, now: clock.Millis, is_transfer: bool = False
    ) -> list[control_pb2.VoteRequest]:
        """Starts a new term and requests the votes of the other voters.

        The caller has to call `sync` if that makes this replica the leader.
        """
        self.leader = ""
        self.role = Role.CANDIDATE
        self._save_hard_state(self.term + 1, self.id)
        self._votes = {self.id}
        if self._has_majority(self._votes):
            self._become_leader(now)
            return []
        return self._make_vote_requests(self.term, handed_over=is_transfer)

    def _make_vote_requests(
        self, term: int, **kind: bool
    ) -> list[control_pb2.VoteRequest]:
        return [
            control_pb2.VoteRequest(
                to=voter,
                candidate=self.id,
                term=term,
                last_index=self.log.last_index,
                last_term=self.log.last_term,
                **kind,
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
        member = self.followers.find_successor(self.members)
        if member is None:
            return None
        return control_pb2.StandRequest(
            to=member, leader=self.id, term=self.term
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
        self._reset_election_timer(now)
        return self._start_election(now, is_transfer=True)

    def _become_leader(self, now: clock.Millis) -> None:
        self.role = Role.LEADER
        self.leader = self._last_leader = self.id
        self._leader_since = now
        self.followers.clear()
        self.followers.track(self.members)
        self._term_start = self.log.last_index + 1
        self._append_as_leader([control_pb2.LogEntry(noop=True)])

    def handle_vote(
        self, now: clock.Millis, req: control_pb2.VoteRequest
    ) -> control_pb2.VoteReply:
        """Grants or refuses a vote."""
        reason = self._refuse_vote(now, req)
        if not reason and not req.pre_vote:
            is_newer = req.term > self.term
            self._save_hard_state(req.term, req.candidate)
            if is_newer:
                self._become_follower(now, req.term, "")
            self._reset_election_timer(now)
        return control_pb2.VoteReply(
            term=self.term,
            granted=not reason,
            reason=reason,
            slow_write_ms=self._get_slow_write_ms(now),
        )

    def _get_slow_write_ms(self, now: clock.Millis) -> int:
        return int(self._own_writes.recent_ms(now))

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
        """Counts a vote and returns the requests of the next round, if any.

        The caller has to call `sync` if this replica has become the leader.
        """
        self._others_writes.record(now, reply.slow_write_ms)
        if reply.term > self.term and not reply.granted:
            self._become_follower(now, reply.term, "")
            return []
        if not self._is_vote_open(req):
            return []
        if not reply.granted:
            self.on_vote_failure(now, req)
            return []
        votes = self._pre_votes if req.pre_vote else self._votes
        votes.add(req.to)
        if not self._has_majority(votes):
            return []
        if not req.pre_vote:
            self._become_leader(now)
            return []
        requests = self._start_election(now)
        # Voters that have not answered the pre-vote may be down.
        self._awaited = self._pre_votes - {self.id}
        self._election_timer.wait_for_votes(now)
        return requests

    def _is_vote_open(self, req: control_pb2.VoteRequest) -> bool:
        """Returns whether the answer to a vote request still counts."""
        if req.pre_vote:
            is_open = self.role is Role.PRE_CANDIDATE
            return is_open and req.term == self.term + 1
        is_open = self.role in (Role.CANDIDATE, Role.PRE_CANDIDATE)
        return is_open and req.term == self.term and self.id in self._votes

    def on_vote_failure(
        self, now: clock.Millis, req: control_pb2.VoteRequest
    ) -> None:
        """Stops waiting for votes once those that may come are too few."""
        is_open = self.role is Role.CANDIDATE and req.term == self.term
        if req.pre_vote or not is_open:
            return
        self._awaited.discard(req.to)
        if not self._has_majority(self._votes | self._awaited):
            self._election_timer.stop_waiting(self._own_writes.recent_ms(now))

    # Leader.

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
        self.followers.track(self.members)
        self.sync()
        return self.log.last_index

    def _has_uncommitted_change(self) -> bool:
        return self.log.has_members_after(self.commit_index)

    def append_due_at(self, member: str) -> clock.Millis:
        """Returns when the next append request to a member is due."""
        return self.followers.append_due_at(member, self._timings.heartbeat_ms)

    def make_snapshot_request(
        self, now: clock.Millis, member: str
    ) -> control_pb2.SnapshotRequest:
        """Returns a request that sends the newest snapshot to a member."""
        self.followers[member].sent_at = now
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
        progress = self.followers[member]
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
        progress = self._record_ack(now, req, sent_at, reply)
        if progress is None:
            return
        self._others_writes.record(now, reply.slow_write_ms)
        if reply.accepted:
            progress.record_match(reply.match_index, self.log.last_index)
            self._advance_commit()
        else:
            progress.record_mismatch(reply.hint_index)

    def on_snapshot_reply(
        self,
        now: clock.Millis,
        req: control_pb2.SnapshotRequest,
        sent_at: clock.Millis,
        reply: control_pb2.SnapshotReply,
    ) -> None:
        """Updates the progress of a member after a snapshot request."""
        progress = self._record_ack(now, req, sent_at, reply)
        if progress is None:
            return
        progress.record_match(reply.match_index, self.log.last_index)
        self._advance_commit()

    def _record_ack(
        self,
        now: clock.Millis,
        req: control_pb2.AppendRequest | control_pb2.SnapshotRequest,
        sent_at: clock.Millis,
        reply: control_pb2.AppendReply | control_pb2.SnapshotReply,
    ) -> followers_lib.Progress | None:
        """Records that a member has answered this leader.

        Returns:
            The progress of the member; None if the reply does not count.
        """
        if reply.wrong_member:
            return None
        if reply.term > self.term:
            self._become_follower(now, reply.term, "")
        if not self.is_leader or req.term != self.term:
            return None
        progress = self.followers.get(req.to)
        if progress is not None:
            progress.acked_sent_at = max(progress.acked_sent_at, sent_at)
        return progress

    def _advance_commit(self) -> None:
        if not self.is_leader:
            return
        index = self.followers.majority_match_index(self.members)
        if index > self.commit_index and self.log.term_at(index) == self.term:
            self.commit_index = index

    def quorum_acked_at(self, now: clock.Millis) -> clock.Millis:
        """Returns the latest time at which a majority followed this leader."""
        return self.followers.majority_acked_at(self.members, now)

    def has_leader_contact(self, now: clock.Millis) -> bool:
        """Returns whether this member is a leader or in contact with one."""
        min_ms = self._timings.election_least_ms
        return self.is_leader or now < self._leader_seen_at + min_ms

    def is_live(self, member: str, now: clock.Millis) -> bool:
        """Returns whether a member has recently answered this leader."""
        if member == self.id:
            return True
        progress = self.followers.get(member)
        if progress is None:
            return False
        return progress.acked_sent_at >= self._oldest_ack_at(now)

    def is_caught_up(self, member: str, now: clock.Millis) -> bool:
        """Returns whether a live member has every committed entry."""
        if not self.is_live(member, now):
            return False
        return self.followers[member].match_index >= self.commit_index

    def is_log_needed(self, now: clock.Millis) -> bool:
        """Returns whether a live member lacks entries that this leader has."""
        return any(
            self.is_live(member, now)
            and progress.match_index < self.commit_index
            for member, progress in self.followers.items()
        )

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
        reply = self._store_entries(req)
        reply.slow_write_ms = self._get_slow_write_ms(now)
        return reply

    def _store_entries(
        self, req: control_pb2.AppendRequest
    ) -> control_pb2.AppendReply:
        if req.previous_index < self.log.snapshot.index:
            # Every leader has all committed entries, so both logs match up
            # to the commit index.
            return control_pb2.AppendReply(
                term=self.term, accepted=True, match_index=self.commit_index
            )
        if self.log.term_at(req.previous_index) != req.previous_term:
            return control_pb2.AppendReply(
                term=self.term,
                hint_index=self.log.find_hint_index(
                    req.previous_index, self.commit_index
                ),
            )
        has_members = self.log.merge(list(req.entries), self.commit_index)
        self.sync()
        if has_members:
            self.members = self.log.find_members()
        match = req.previous_index + len(req.entries)
        self.commit_index = max(self.commit_index, min(req.commit, match))
        return control_pb2.AppendReply(
            term=self.term, accepted=True, match_index=match
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
