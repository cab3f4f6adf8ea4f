"""A group of replicas in one process, over a network that loses messages."""

import dataclasses
import random
import typing

from cardamomkeel import clock
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import replica as replica_lib
from cardamomkeel.replication import storage as storage_lib
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

STEP_MS = 20.0
# How often a disk is done within one step.
SYNCED_SHARE = 0.5
# Long enough that some history outlasts the time that claims are kept.
LOG_STEP_MS = 3_600_000


@dataclasses.dataclass
class Message:
    """A request on its way to the replica at a name, or a reply back."""

    to: str
    deliver: typing.Callable[[], None]


class Group:
    """Replicas that store in memory, with checks of what they agree on."""

    def __init__(self, names: list[str], seed: int = 0, expected: str = ""):
        self.rng = random.Random(seed)
        self.now: clock.Millis = 0.0
        self.net: list[Message] = []
        self.storages: dict[str, storage_lib.MemoryStorage] = {}
        self.replicas: dict[str, replica_lib.Replica] = {}
        self.tables: dict[str, tables_lib.Tables] = {}
        self.applied: dict[str, int] = {}
        self.cut: set[str] = set()
        self.committed: dict[int, bytes] = {}
        self.digests: dict[int, bytes] = {}
        self.leaders: dict[int, str] = {}
        self.lives = 0
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
        """Crashes a replica: what it had not synced is lost."""
        stored = self.storages[name].stored
        storage = storage_lib.MemoryStorage(stored)
        self.storages[name] = storage
        self.replicas[name] = replica_lib.Replica(
            storage_lib.StoredState(
                stored.hard_state, stored.snapshot, list(stored.entries)
            ),
            storage,
            replica_lib.Timings(),
            self.rng,
            self.now,
        )
        self._load(name)

    def lose_disk(self, name: str) -> None:
        """Gives a name an empty disk, which is a member of its own."""
        self.lives += 1
        member_id = members_lib.member_id(name, f"life-{self.lives}")
        self._make(name, member_id, control_pb2.Members())

    def _load(self, name: str) -> None:
        replica = self.replicas[name]
        self.tables[name] = tables_lib.Tables()
        self.tables[name].load(replica.read_state())
        self.applied[name] = replica.snapshot.index

    # The network.

    def _send(self, to: str, deliver: typing.Callable[[], None]) -> None:
        self.net.append(Message(to, deliver))

    def _request(self, sender: str, to_id: str, handler: str, req) -> None:
        to = to_id.rpartition(".")[0]
        asking = self.replicas[sender]
        sent_at = self.now
        if to not in self.replicas:
            return

        def answer(reply) -> None:
            if self.replicas[sender] is not asking:
                return
            if handler == "handle_vote":
                for vote in asking.on_vote_reply(self.now, req, reply):
                    self._request(sender, vote.to, handler, vote)
            elif handler == "handle_append":
                asking.on_append_reply(self.now, req, sent_at, reply)
            else:
                asking.on_snapshot_reply(self.now, req, sent_at, reply)

        def deliver() -> None:
            reply = getattr(self.replicas[to], handler)(self.now, req)
            self._send(sender, lambda: answer(reply))

        self._send(to, deliver)

    def deliver(self, position: int, keep: bool = False) -> None:
        """Delivers one message; a kept one arrives again later."""
        if not self.net:
            return
        position %= len(self.net)
        message = self.net[position] if keep else self.net.pop(position)
        if message.to not in self.cut:
            message.deliver()
        self.check()

    def drop(self, position: int) -> None:
        """Loses one message."""
        if self.net:
            self.net.pop(position % len(self.net))

    def pump(self) -> None:
        """Lets each replica act on the time and send what is due."""
        for name, replica in self.replicas.items():
            if name in self.cut:
                continue
            for vote in replica.tick(self.now):
                self._request(name, vote.to, "handle_vote", vote)
            for member in list(replica.progress):
                self._send_due(name, replica, member)
            # A slow disk is done only once others may have the entries.
            if self.rng.random() < SYNCED_SHARE:
                replica.sync()
            self._do_duties(replica)
        self._join_new()
        self.check()

    def _send_due(self, name: str, replica, member: str) -> None:
        # One request at a time is on its way in production; more is harder.
        progress = replica.progress[member]
        if replica.append_due_at(member) > self.now:
            return
        if self.now - progress.sent_at < STEP_MS:
            return
        if replica.needs_snapshot(member):
            req = replica.make_snapshot_request(self.now, member)
            self._request(name, member, "handle_snapshot", req)
        else:
            req = replica.make_append_request(self.now, member)
            self._request(name, member, "handle_append", req)

    def _do_duties(self, replica) -> None:
        for member in replica.members.members:
            if replica.is_ready and not member.voter:
                if replica.is_caught_up(member.id, self.now):
                    replica.propose_members(
                        members_lib.with_voter(replica.members, member.id)
                    )
                return

    def _join_new(self) -> None:
        leader = self.leader()
        if leader is None:
            return
        for name, replica in self.replicas.items():
            known = members_lib.get_member_by_id(leader.members, replica.id)
            if known is None and name not in self.cut:
                own = control_pb2.Member(id=replica.id, name=name, address="-")
                changed = members_lib.with_learner(leader.members, own)
                if changed is not None:
                    leader.propose_members(changed)

    def run(self, ms: float) -> None:
        """Passes time, in which every message arrives in order."""
        until = self.now + ms
        while self.now < until:
            self.now += STEP_MS
            self.pump()
            for _ in range(len(self.net)):
                self.deliver(0)

    # What is asked of it.

    def leader(self) -> replica_lib.Replica | None:
        """Returns the replica that leads the newest term and is ready."""
        ready = [
            replica
            for name, replica in self.replicas.items()
            if replica.is_ready and name not in self.cut
        ]
        return max(ready, key=lambda replica: replica.term, default=None)

    def name_of(self, replica: replica_lib.Replica) -> str:
        """Returns the name of a replica."""
        return replica.id.rpartition(".")[0]

    def propose(self, name: str, synced: bool = True) -> None:
        """Has a replica propose a change of the settings, if it leads.

        Args:
            name: The name of the replica.
            synced: Whether its disk is done before anything else happens.
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
        if synced:
            self.replicas[name].sync()

    def _make_commands(self, name: str) -> list[control_pb2.Command]:
        """Returns some commands of other kinds, on few names."""
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
        """Has a replica replace its log by a snapshot."""
        self.check()
        replica = self.replicas[name]
        if self.applied[name] > replica.snapshot.index:
            replica.compact(
                control_pb2.Snapshot(
                    index=self.applied[name], state=self.tables[name].save()
                )
            )

    # What must hold.

    def check(self) -> None:
        """Fails where two replicas disagree or something reverted."""
        for name, replica in self.replicas.items():
            if replica.is_leader:
                known = self.leaders.setdefault(replica.term, replica.id)
                assert known == replica.id, f"two leaders in {replica.term}"
            self._apply(name, replica)

    def _apply(self, name: str, replica) -> None:
        if self.applied[name] < replica.snapshot.index:
            self._load(name)
        assert replica.commit_index >= self.applied[name], "commit went back"
        tables = self.tables[name]
        for entry in replica.entries(
            self.applied[name] + 1, replica.commit_index
        ):
            raw = entry.SerializeToString(deterministic=True)
            known = self.committed.setdefault(entry.index, raw)
            assert known == raw, f"two values at index {entry.index}"
            before = tables.revision
            if entry.HasField("command"):
                machine.apply(tables, entry.command, entry.index)
            assert tables.revision >= before, "a revision went back"
            self.applied[name] = entry.index
            digest = tables.save().SerializeToString(deterministic=True)
            known = self.digests.setdefault(entry.index, digest)
            assert known == digest, f"two states at index {entry.index}"
