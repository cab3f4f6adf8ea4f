"""Periodic work of the leader: sessions, owners of targets, learners."""

import typing

import anyio
import loguru

from cardamomkeel import clock
from cardamomkeel.control import deadlines as deadlines_lib
from cardamomkeel.control import leases as leases_lib
from cardamomkeel.control import signal
from cardamomkeel.policy import owners
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import replica as replica_lib
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

# How often the leader checks for work if nothing has changed.
CHECK_PERIOD_MS = 500.0
# Pause between rounds, so that one round handles many changes.
ROUND_PAUSE_MS = 50.0
# How often expired claims are removed. They are kept for minutes.
SWEEP_PERIOD_MS = 30_000.0
# How often targets move between entries to balance them. A new owner treats
# each of its targets as cold, so the period is long.
BALANCE_PERIOD_MS = 5000.0
# A member that has not answered for longer may be replaced by a new one.
DEAD_AFTER_MS = 3000.0
# The same if the group tolerates as many failures without the member: with it,
# the next failure may end the group.
SPARE_DEAD_AFTER_MS = 600.0
# How often the leader checks for such a member.
SPARE_CHECK_PERIOD_MS = 100.0

logger = loguru.logger


class LeaderNode(typing.Protocol):
    """The control VM, as far as the tasks use it."""

    replica: replica_lib.Replica
    tables: tables_lib.Tables
    leases: leases_lib.Leases
    max_members: int
    changed: signal.Signal

    async def propose(
        self, commands: list[control_pb2.Command]
    ) -> list[control_pb2.CommandResult] | None:
        """Commits commands."""

    def apply_committed(self) -> None:
        """Applies the committed entries of the log."""


class LeaderTasks:
    """Ends expired sessions, assigns owners, promotes learners."""

    def __init__(
        self, node: LeaderNode, lease_ms: clock.Millis, clk: clock.Clock
    ):
        self._node = node
        self._clock = clk
        self._deadlines = deadlines_lib.RecentDeadlines(lease_ms)
        self._swept_at = 0.0
        self._balanced_at = 0.0
        self._leader_since = 0.0

    def on_elected(self, now: clock.Millis) -> None:
        """Resets the timers when this VM becomes the leader."""
        self._deadlines.reset(now)
        self._leader_since = now

    async def run(self) -> None:
        """Does the pending work whenever this node is the leader."""
        while True:
            await self._node.changed.wait(clock.seconds(self._wait_ms()))
            if self._node.replica.is_ready:
                await self._run_round()
            await anyio.sleep(clock.seconds(ROUND_PAUSE_MS))

    def _wait_ms(self) -> clock.Millis:
        if not self._node.replica.is_ready:
            return CHECK_PERIOD_MS
        period_ms = CHECK_PERIOD_MS
        if members_lib.can_spare_voter(self._node.replica.members):
            period_ms = SPARE_CHECK_PERIOD_MS
        return self._node.leases.time_to_expiry_ms(self._clock.now(), period_ms)

    async def _run_round(self) -> None:
        now = self._clock.now()
        sessions = self._node.tables.sessions()
        self._node.leases.retain(sessions)
        revision = self._node.tables.settings.revision
        if revision != self._deadlines.revision:
            longest = self._node.tables.longest_deadlines()
            self._deadlines.update(revision, longest, now)
        commands = []
        expired = self._node.leases.mark_expired_as_closing(sessions, now)
        if expired:
            logger.warning("ending expired entry sessions", sessions=expired)
            commands.extend(
                self._make_expire_command(session, now) for session in expired
            )
        assignments = self._plan_owners(now)
        if assignments:
            commands.append(
                control_pb2.Command(
                    assign_owners=control_pb2.AssignOwners(
                        assignments=assignments
                    )
                )
            )
        if now - self._swept_at > SWEEP_PERIOD_MS:
            self._swept_at = now
            commands.append(control_pb2.Command(sweep=control_pb2.Sweep()))
        if commands:
            await self._node.propose(commands)
        await self._promote_learners()

    def _make_expire_command(
        self, session: int, now: clock.Millis
    ) -> control_pb2.Command:
        owned = {
            target.service
            for target in self._node.tables.targets()
            if target.owner == session
        }
        after_ms = self._node.leases.get_work_after_lease(session)
        return self._deadlines.make_expire_command(
            session, after_ms, owned, now
        )

    def _plan_owners(self, now: clock.Millis) -> list[control_pb2.Assignment]:
        may_balance = now - self._balanced_at >= BALANCE_PERIOD_MS
        if may_balance:
            self._balanced_at = now
        return owners.plan(
            self._node.tables.targets(),
            self._node.tables.entries(),
            may_balance,
        )

    async def _promote_learners(self) -> None:
        now = self._clock.now()
        replica = self._node.replica
        learners = [
            member
            for member in replica.members.members
            if not member.voter and replica.is_caught_up(member.id, now)
        ]
        dead = self._find_dead_voter(now)
        can_spare = members_lib.can_spare_voter(replica.members)
        if dead is not None and (learners or can_spare):
            self._node.propose_members(
                members_lib.without_member(replica.members, dead.name)
            )
            logger.warning("removed unresponsive member", member=dead.id)
        elif learners:
            member = learners[0]
            self._node.propose_members(
                members_lib.with_voter(replica.members, member.id)
            )
            logger.info("promoting learner to voter", member=member.id)

    def _find_dead_voter(self, now: clock.Millis) -> control_pb2.Member | None:
        """Returns an unresponsive voter that may be replaced automatically."""
        replica = self._node.replica
        can_spare = members_lib.can_spare_voter(replica.members)
        dead_after_ms = SPARE_DEAD_AFTER_MS if can_spare else DEAD_AFTER_MS
        deadline = now - dead_after_ms - replica.ack_delay_ms(now)
        if not self._node.max_members or self._leader_since > deadline:
            return None
        for member in replica.members.members:
            if member.id == replica.id or not member.voter:
                continue
            progress = replica.followers.get(member.id)
            if progress is not None and progress.acked_sent_at < deadline:
                return member
        return None
