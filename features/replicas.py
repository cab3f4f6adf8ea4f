"""A group of replicas in one process, over a network that loses messages."""

import dataclasses
import random
import typing

from cardamomkeel import clock
from cardamomkeel.replication import election_timer
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import replica as replica_lib
from cardamomkeel.replication import storage as storage_lib
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

STEP_MS = 20.0
# The probability that a disk finishes a sync within one step.
SYNC_PROBABILITY = 0.5
# Long enough that some history lasts longer than the retention of claims.
LOG_STEP_MS = 3_600_000


@dataclasses.dataclass
class Message:
    """A request or reply in transit to the replica with a name."""

    to: str
    deliver: typing.Callable[[], None]


class Group:
    """Replicas that store in memory, with checks of their invariants."""

    def __init__(self, names: list[str], seed: int = 0, expected: str = ""):
        self.rng = random.Random(seed)
        self.now: clock.Millis = 0.0
        self.in_transit: list[Message] = []
        self.storages: dict[str, storage_lib.MemoryStorage] = {}
        self.replicas: dict[str, replica_lib.Replica] = {}
        self.tables: dict[str, tables_lib.Tables] = {}
        self.applied: dict[str, int] = {}
        self.cut: set[str] = set()
        self.committed: dict[int, bytes] = {}
        self.digests: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.incarnations = 0
        self.proposed = 0
        first = members_lib.initial_members(dict.fromkeys(names, "-"))
        first.expected.extend(expected.split())
        for name in names:
            member_id = members_lib.member_id(name, "first")
            self._make(name, member_id, first)

    def _make(
        self, name: str, member_id: str, members: control_pb2.Members
    ) -> None:
        stored = storage_lib.StoredState(
            control_pb2.HardState(member_id=member_id),
            control_pb2.Snapshot(members=members),
            [],
        )
        self.storages[name] = storage_lib.MemoryStorage(stored)
        self.restart(name)

    def restart(self, name: str) -> None:
        """Crashes and restarts a replica; it loses what it had not synced."""
        stored = self.storages[name].stored
        storage = storage_lib.MemoryStorage(stored)
        self.storages[name] = storage
        self.replicas[name] = replica_lib.Replica(
            storage_lib.StoredState(
                stored.hard_state, stored.snapshot, list(stored.entries)
            ),
            storage,
            election_timer.Timings(),
            self.rng,
            self.now,
        )
        self._load(name)

    def lose_disk(self, name: str) -> None:
        """Restarts a name with an empty disk, as a new member id."""
        self.incarnations += 1
        member_id = members_lib.member_id(name, f"life-{self.incarnations}")
        self._make(name, member_id, control_pb2.Members())

    def _load(self, name: str) -> None:
        replica = self.replicas[name]
        self.tables[name] = tables_lib.Tables()
        self.tables[name].load(replica.log.read_state())
        self.applied[name] = replica.log.snapshot.index

    # The network.

    def _send(self, to: str, deliver: typing.Callable[[], None]) -> None:
        self.in_transit.append(Message(to, deliver))

    def _request(self, sender: str, to_id: str, handler: str, req) -> None:
        to = to_id.rpartition(".")[0]
        requester = self.replicas[sender]
        sent_at = self.now
        if to not in self.replicas:
            return

        def receive_reply(reply) -> None:
            if self.replicas[sender] is not requester:
                return
            if handler == "handle_vote":
                for vote in requester.on_vote_reply(self.now, req, reply):
                    self._request(sender, vote.to, handler, vote)
                # A new leader leaves the sync of its first entry to the caller.
                requester.sync()
            elif handler == "handle_append":
                requester.on_append_reply(self.now, req, sent_at, reply)
            else:
                requester.on_snapshot_reply(self.now, req, sent_at, reply)

        def deliver() -> None:
            reply = getattr(self.replicas[to], handler)(self.now, req)
            self._send(sender, lambda: receive_reply(reply))

        self._send(to, deliver)

    def deliver(self, position: int, duplicate: bool = False) -> None:
        """Delivers one message; a duplicate stays in transit as well."""
        if not self.in_transit:
            return
        position %= len(self.in_transit)
        message = (
            self.in_transit[position]
            if duplicate
            else self.in_transit.pop(position)
        )
        if message.to not in self.cut:
            message.deliver()
        self.check_invariants()

    def drop(self, position: int) -> None:
        """Drops one message."""
        if self.in_transit:
            self.in_transit.pop(position % len(self.in_transit))

    def pump(self) -> None:
        """Ticks each replica and sends the requests that are due."""
        for name, replica in self.replicas.items():
            if name in self.cut:
                continue
            for vote in replica.tick(self.now):
                self._request(name, vote.to, "handle_vote", vote)
            for member in list(replica.followers):
                self._send_due(name, replica, member)
            # With a slow disk, others may have the entries before the sync.
            if self.rng.random() < SYNC_PROBABILITY:
                replica.sync()
            self._promote_learners(replica)
        self._join_replicas()
        self.check_invariants()

    def _send_due(self, name: str, replica, member: str) -> None:
        # In production one request to a member is in transit at a time; several
        # are a harder test.
        progress = replica.followers[member]
        if replica.append_due_at(member) > self.now:
            return
        if self.now - progress.sent_at < STEP_MS:
            return
        if replica.followers.needs_snapshot(member):
            req = replica.make_snapshot_request(self.now, member)
            self._request(name, member, "handle_snapshot", req)
        else:
            req = replica.make_append_request(self.now, member)
            self._request(name, member, "handle_append", req)

    def _promote_learners(self, replica) -> None:
        for member in replica.members.members:
            if replica.is_ready and not member.voter:
                if replica.is_caught_up(member.id, self.now):
                    replica.propose_members(
                        members_lib.with_voter(replica.members, member.id)
                    )
                return

    def _join_replicas(self) -> None:
        leader = self.leader()
        if leader is None:
            return
        for name, replica in self.replicas.items():
            member = members_lib.get_member_by_id(leader.members, replica.id)
            if member is None and name not in self.cut:
                own = control_pb2.Member(id=replica.id, name=name, address="-")
                changed = members_lib.with_learner(leader.members, own)
                if changed is not None:
                    leader.propose_members(changed)

    def run(self, ms: float) -> None:
        """Advances the time and delivers every message in order."""
        until = self.now + ms
        while self.now < until:
            self.now += STEP_MS
            self.pump()
            for _ in range(len(self.in_transit)):
                self.deliver(0)

    # Queries and proposals.

    def leader(self) -> replica_lib.Replica | None:
        """Returns the ready leader of the newest term, or None."""
        ready = [
            replica
            for name, replica in self.replicas.items()
            if replica.is_ready and name not in self.cut
        ]
        return max(ready, key=lambda replica: replica.term, default=None)

    def name_of(self, replica: replica_lib.Replica) -> str:
        """Returns the name of a replica."""
        return replica.id.rpartition(".")[0]

    def propose(self, name: str, sync: bool = True) -> None:
        """Proposes a settings change and other commands, if it is the leader.

        Args:
            name: The name of the replica.
            sync: Whether the replica syncs before other messages arrive.
        """
        self.proposed += 1
        base = self.tables[name].revision
        change = control_pb2.ChangeSettings(
            base_revision=base,
            change_id=f"change-{self.proposed // 2}",
            text=f"text {self.proposed}",
        )
        commands = [
            control_pb2.Command(change_settings=change),
            *self._make_commands(name),
        ]
        for command in commands:
            command.log_ms = self.proposed * LOG_STEP_MS
        self.replicas[name].propose(commands)
        if sync:
            self.replicas[name].sync()

    def _make_commands(self, name: str) -> list[control_pb2.Command]:
        """Returns random commands of other kinds on a few names."""
        sessions = [e.session for e in self.tables[name].entries()] or [1]
        session = self.rng.choice(sessions)
        key = self.rng.choice(["key-1", "key-2"])
        token = self.rng.choice(["token-1", "token-2"])
        address = self.rng.choice(["target-1", "target-2"])
        claim = {"session": session, "service": "s", "key": key}
        state = self.rng.choice(
            [control_pb2.CLAIM_ANSWERED, control_pb2.CLAIM_RELEASED]
        )
        settle = claim | {"state": state, "answer": {"body": b"answer"}}
        kinds = [
            {"entry_join": {"name": "entry-1", "nonce": token}},
            {"claim": claim | {"token": token, "fingerprint": b"f"}},
            {"settle": settle | {"token": token}},
            {"entry_expire": {"sessions": [session]}},
            {"target_seen": {"address": address, "service": "s", "slots": 3}},
            {"target_gone": {"address": address}},
            {"take_out": {"data_centre": "brest", "change_id": token}},
            {"bring_back": {"data_centre": "brest"}},
            {"report_break": {"fingerprint": b"f", "target": address}},
            {"sweep": {}},
        ]
        return [
            control_pb2.Command(**body) for body in self.rng.choices(kinds, k=4)
        ]

    def compact(self, name: str) -> None:
        """Compacts the log of a replica up to its applied index."""
        self.check_invariants()
        replica = self.replicas[name]
        if self.applied[name] > replica.log.snapshot.index:
            replica.log.compact(
                control_pb2.Snapshot(
                    index=self.applied[name], state=self.tables[name].save()
                )
            )

    # Invariants.

    def check_invariants(self) -> None:
        """Fails if replicas disagree or a committed value changed."""
        for name, replica in self.replicas.items():
            if replica.is_leader:
                leader_id = self.leaders.setdefault(replica.term, replica.id)
                assert leader_id == replica.id, f"two leaders in {replica.term}"
            self._apply(name, replica)

    def _apply(self, name: str, replica) -> None:
        if self.applied[name] < replica.log.snapshot.index:
            self._load(name)
        assert replica.commit_index >= self.applied[name], "commit went back"
        tables = self.tables[name]
        for entry in replica.log.entries(
            self.applied[name] + 1, replica.commit_index
        ):
            raw = entry.SerializeToString(deterministic=True)
            first_seen = self.committed.setdefault(entry.index, raw)
            assert first_seen == raw, f"two values at index {entry.index}"
            before = tables.revision
            if entry.HasField("command"):
                machine.apply(tables, entry.command, entry.index)
            assert tables.revision >= before, "a revision went back"
            self.applied[name] = entry.index
            digest = tables.save().SerializeToString(deterministic=True)
            first_seen = self.digests.setdefault(entry.index, digest)
            assert first_seen == digest, f"two states at index {entry.index}"
