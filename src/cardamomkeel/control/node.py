"""One control VM: a replica, its state and the tasks of a leader."""

import collections.abc
import contextlib
import random
import typing

import anyio
import anyio.abc
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import channels as channels_lib
from cardamomkeel.control import hand_over
from cardamomkeel.control import leader_tasks as leader_tasks_lib
from cardamomkeel.control import leases as leases_lib
from cardamomkeel.control import leaving
from cardamomkeel.control import pending_commands
from cardamomkeel.control import signal
from cardamomkeel.policy import log_compaction
from cardamomkeel.replication import election_timer
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import replica as replica_lib
from cardamomkeel.replication import storage as storage_lib
from cardamomkeel.rollouts import leader as rollouts_lib
from cardamomkeel.state import history as history_lib
from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2

# Pause after a compaction for which the disk had no room.
COMPACTION_RETRY_MS = 1000.0
# Turns of the event loop after which the notified senders have sent.
SEND_YIELDS = 3
# Pause after a second failure to reach a member, less than a heartbeat.
RETRY_PAUSE_MS = 100.0
# A write to the disk that takes longer is logged.
SLOW_DISK_MS = 300.0
# The slowest link that a request of any length is sent over in time.
SLOWEST_BYTES_PER_MS = 2000.0
# For a VM whose memory and disk are not known.
DEFAULT_LOG_LIMITS = log_compaction.derive_limits(256e6, 256e6)

logger = loguru.logger


class ControlNode:
    """Runs a replica over the network and serves the state.

    Attributes:
        replica: The replica of the log.
        tables: The state up to the newest applied entry.
        history: The changes to the state since the last snapshot.
        leases: The leases of entries, while this node is the leader.
        changed: Notified when the state or the role changes.
        member_acked: Notified when another member has answered.
        rollouts: Decides the steps of roll-outs, while this node leads.
        max_members: The size up to which the group adds members and replaces
            unresponsive ones without an operator; 0 for never.
    """

    def __init__(
        self,
        stored: storage_lib.StoredState,
        storage: storage_lib.Storage,
        timings: election_timer.Timings,
        lease_ms: clock.Millis,
        reach: dict[str, str],
        clk: clock.Clock,
        rng: random.Random,
        max_members: int = 0,
        log_limits: log_compaction.Limits = DEFAULT_LOG_LIMITS,
    ):
        self.max_members = max_members
        self._log_limits = log_limits
        self._clock = clk
        self._timings = timings
        self._channels = channels_lib.Channels(reach, clk)
        self._pending = pending_commands.PendingCommands()
        # The term and command of each entry that is not committed.
        self._uncommitted: dict[
            int, tuple[int, pending_commands.PendingCommand]
        ] = {}
        self._has_pending = signal.Signal()
        self._send_due = signal.Signal()
        # Notified when the time of the next campaign may be earlier.
        self._timer_set = signal.Signal()
        self._senders: set[str] = set()
        self._was_ready = False
        self._handing_over = False
        self._log_ms_base = 0
        self._ready_since = 0.0
        self._tasks: anyio.abc.TaskGroup | None = None
        self._failure: storage_lib.StorageFailedError | None = None
        self._storage_failed = anyio.Event()
        self.changed = signal.Signal()
        self.member_acked = signal.Signal()
        self.leases = leases_lib.Leases(lease_ms)
        self._leader_tasks = leader_tasks_lib.LeaderTasks(self, lease_ms, clk)
        self.rollouts = rollouts_lib.RolloutLeader(self, clk)
        self.tables = tables_lib.Tables()
        self.replica = replica_lib.Replica(
            stored, storage, timings, rng, clk.now()
        )
        self._compaction_jitter = rng.uniform(0, log_compaction.MAX_JITTER)
        self._no_compaction_until = float("-inf")
        # The length of the applied entries since the snapshot.
        self._applied_bytes = 0
        self.history = history_lib.History(clk)
        self.applied = 0
        self._applied_at = clk.now()
        self._load_snapshot()

    # State.

    def _load_snapshot(self) -> None:
        self.tables = tables_lib.Tables()
        self.tables.load(self.replica.log.read_state())
        self.history.load(self.tables)
        self.applied = self.replica.log.snapshot.index
        self._applied_bytes = 0

    def leader_address(self) -> str:
        """Returns the address of the leader; empty if there is none."""
        member = members_lib.get_member_by_id(
            self.replica.members, self.replica.leader
        )
        return "" if member is None else member.address

    def estimate_log_ms(self) -> int:
        """Returns the time on the log's clock; followers estimate it."""
        if self.replica.is_ready:
            return self._log_ms()
        since = self._clock.now() - self._applied_at
        return self.tables.log_ms + int(since)

    def list_addresses(self) -> list[str]:
        """Returns the addresses of all members of the group."""
        return [member.address for member in self.replica.members.members]

    def apply_committed(self) -> None:
        """Applies the committed entries and wakes the tasks that wait."""
        replica = self.replica
        before = self.tables.version
        if self.applied < replica.log.snapshot.index:
            self._load_snapshot()
        for entry in replica.log.entries(
            self.applied + 1, replica.commit_index
        ):
            self._apply(entry)
        self._compact()
        self._update_role()
        # No task waits for commands that change no row, such as claims.
        if self.tables.version != before:
            self.changed.notify()
            self._send_now()
        self._send_due.notify()

    def _send_now(self) -> None:
        """Makes append requests due, so that followers commit at once.

        Entries get their rows from followers too.
        """
        for progress in self.replica.followers.values():
            progress.sent_at = float("-inf")

    def _apply(self, entry: control_pb2.LogEntry) -> None:
        done = None
        if entry.HasField("command"):
            done = machine.apply(self.tables, entry.command, entry.index)
            self.history.record(entry.command, done, self.tables, entry.index)
        self.applied = entry.index
        self._applied_at = self._clock.now()
        self._applied_bytes += entry.ByteSize()
        term, pending = self._uncommitted.pop(entry.index, (0, None))
        if pending is not None:
            self._pending.finish(pending, done if term == entry.term else None)

    def _compact(self) -> None:
        log = self.replica.log
        now = self._clock.now()
        backlog = log_compaction.Backlog(
            self.applied - log.snapshot.index,
            self._applied_bytes,
            log.snapshot_bytes,
        )
        is_due = log_compaction.is_due(
            backlog,
            self._log_limits,
            self._compaction_jitter,
            self.replica.is_log_needed(now),
        )
        if not is_due or now < self._no_compaction_until:
            return
        snapshot = control_pb2.Snapshot(index=self.applied)
        self.tables.save(snapshot.state)
        try:
            log.compact(snapshot)
        except storage_lib.OutOfSpaceError as exc:
            self._no_compaction_until = now + COMPACTION_RETRY_MS
            logger.warning("no room to compact the log", reason=str(exc))
            return
        self._applied_bytes = 0
        logger.info(
            "compacted the log",
            index=self.applied,
            entries=backlog.entries,
            log_bytes=backlog.log_bytes,
            snapshot_bytes=log.snapshot_bytes,
        )

    def _update_role(self) -> None:
        ready = self.replica.is_ready
        if ready == self._was_ready:
            return
        self._was_ready = ready
        now = self._clock.now()
        if ready:
            self._log_ms_base = self.tables.log_ms
            self._ready_since = now
            self.leases.start(self.tables.sessions(), now)
            self._leader_tasks.on_elected(now)
            self.rollouts.reset()
        else:
            self._fail_uncommitted()
        logger.info(
            "became leader" if ready else "became follower",
            term=self.replica.term,
        )
        self.changed.notify()

    def _fail_uncommitted(self) -> None:
        for _, pending in self._uncommitted.values():
            self._pending.finish(pending, None)
        self._uncommitted = {}

    def handle(self, handler: typing.Callable, req: typing.Any) -> typing.Any:
        """Passes a request of another control VM to the replica.

        Args:
            handler: The method of the replica.
            req: The request.

        Returns:
            The reply, once the state that it acknowledges is on the disk.

        Raises:
            StorageFailedError: The disk failed to store the state.
        """
        with self._end_on_storage_failure(), self._watch_disk():
            reply = handler(self._clock.now(), req)
            self.apply_committed()
        return reply

    def propose_members(self, changed: control_pb2.Members) -> int | None:
        """Appends a membership change; see `Replica.propose_members`.

        Raises:
            StorageFailedError: The disk failed to store the change.
        """
        with self._end_on_storage_failure(), self._watch_disk():
            index = self.replica.propose_members(changed)
            if index is not None:
                self.apply_committed()
        return index

    @contextlib.contextmanager
    def _watch_disk(self) -> collections.abc.Iterator[None]:
        """Excludes a step that writes to the disk from the timeouts."""
        started_at = self._clock.now()
        yield
        now = self._clock.now()
        took_ms = now - started_at
        self.replica.record_write(now, took_ms)
        if took_ms >= SLOW_DISK_MS:
            logger.warning("slow disk", took_ms=round(took_ms))

    @contextlib.contextmanager
    def _end_on_storage_failure(self) -> collections.abc.Iterator[None]:
        """Ends `run` if the storage fails in a call from another task."""
        try:
            yield
        except storage_lib.StorageFailedError as exc:
            self._failure = exc
            self._storage_failed.set()
            raise

    # Tasks.

    async def run(self) -> None:
        """Runs timers, commits and the leader's tasks until cancelled.

        Raises:
            StorageFailedError: The disk failed to store the state.
        """
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            tasks.start_soon(self._run_timers)
            tasks.start_soon(self._run_batches)
            tasks.start_soon(self._leader_tasks.run)
            tasks.start_soon(self.rollouts.run)
            await self._storage_failed.wait()
            raise self._failure

    async def _run_timers(self) -> None:
        while True:
            now = self._clock.now()
            await self._advance_election(self.replica.tick, now)
            wait_ms = max(1.0, self.replica.next_tick_at(now) - now)
            await self._timer_set.wait(clock.seconds(wait_ms))

    async def _advance_election(self, step: typing.Callable, *args) -> None:
        """Runs a step of the replica and what it asks for.

        Args:
            step: A method of the replica that returns vote requests.
            *args: The arguments of the method.
        """
        was_leader = self.replica.is_leader
        with self._watch_disk():
            requests = step(*args)
            self.apply_committed()
        for req in requests:
            self._start_task(self._request_vote, req)
        self._start_senders()
        if self.replica.is_leader and not was_leader:
            await self._sync_after_sending()

    def _start_task(self, func: typing.Callable, *args) -> None:
        if self._tasks is not None:
            self._tasks.start_soon(func, *args)

    async def _request_vote(self, req: control_pb2.VoteRequest) -> None:
        # A pre-vote is not written to the disk.
        timeout_ms = (
            self._timings.election_least_ms
            if req.pre_vote
            else self._timings.vote_wait_ms
        )
        reply = await self._call_member(req.to, "Vote", req, timeout_ms)
        now = self._clock.now()
        if isinstance(reply, result.Success):
            await self._advance_election(
                self.replica.on_vote_reply, now, req, reply.unwrap()
            )
        else:
            self.replica.on_vote_failure(now, req)
        self._timer_set.notify()

    async def _sync_after_sending(self) -> None:
        """Syncs new entries once they are on their way to the others."""
        self._send_due.notify()
        for _ in range(SEND_YIELDS):
            await anyio.sleep(0)
        with self._watch_disk():
            self.replica.sync()
            self.apply_committed()

    async def _call_member(
        self,
        member_id: str,
        method: str,
        req: typing.Any,
        timeout_ms: clock.Millis,
    ) -> result.Result[typing.Any, errors.Error]:
        member = members_lib.get_member_by_id(self.replica.members, member_id)
        if member is None:
            return result.Failure(
                errors.UnavailableError(
                    f"{member_id} is no member", "add it first"
                )
            )
        return await self._channels.call(
            member.address,
            control_grpc.ReplicationStub,
            method,
            req,
            timeout_ms,
        )

    def campaign(self, req: control_pb2.StandRequest) -> bool:
        """Starts a campaign at the request of a leader that stops.

        Returns:
            Whether a campaign was started.
        """
        votes = self.handle(self.replica.handle_campaign_request, req)
        for vote in votes:
            self._start_task(self._request_vote, vote)
        return bool(votes)

    def close(self) -> None:
        """Closes the connections to other control VMs."""
        self._channels.close()

    async def hand_over(self) -> None:
        """Transfers the leadership to another member before a stop."""
        # A new log entry would make the successor's log incomplete, and it
        # would lose the election.
        self._handing_over = True
        transfer = hand_over.HandOver(
            self.replica,
            self._call_member,
            lambda: bool(self._pending.queued),
            self._timings.election_least_ms,
            self._clock,
        )
        await transfer.run()

    async def leave(self) -> None:
        """Leaves a group that adds members by itself, before a stop."""
        if self.max_members:
            await leaving.leave(self.replica, self._call_member)

    def _start_senders(self) -> None:
        if not self.replica.is_leader:
            return
        for member in set(self.replica.followers) - self._senders:
            self._senders.add(member)
            self._start_task(self._run_sender, member)

    async def _run_sender(self, member: str) -> None:
        """Sends a member its missing entries while this node is the leader."""
        failures = 0
        try:
            while member in self.replica.followers:
                now = self._clock.now()
                wait_ms = self.replica.append_due_at(member) - now
                if wait_ms > 0:
                    await self._send_due.wait(clock.seconds(wait_ms))
                    continue
                if await self._send_once(now, member, failures):
                    failures = 0
                    continue
                failures += 1
                if failures > 1:
                    await anyio.sleep(clock.seconds(RETRY_PAUSE_MS))
        finally:
            self._senders.discard(member)

    def _append_timeout_ms(self, failures: int) -> clock.Millis:
        """Returns the timeout of a request after some failed ones.

        The first timeout is short enough to open another connection before the
        member starts an election. It grows with each failure, for members with
        slow disks.
        """
        election_ms = self._timings.election_least_ms
        first = (election_ms - self._timings.heartbeat_ms) / 2
        return min(first * 2**failures, election_ms)

    async def _send_once(
        self, now: clock.Millis, member: str, failures: int
    ) -> bool:
        replica = self.replica
        snapshot = replica.followers.needs_snapshot(member)
        if snapshot:
            req = replica.make_snapshot_request(now, member)
            method, handle = "InstallSnapshot", replica.on_snapshot_reply
            timeout_ms = 10 * self._timings.election_least_ms
        else:
            req = replica.make_append_request(now, member)
            method, handle = "Append", replica.on_append_reply
            timeout_ms = self._append_timeout_ms(failures)
        timeout_ms += replica.write_allowance_ms(now)
        timeout_ms += req.ByteSize() / SLOWEST_BYTES_PER_MS
        reply = await self._call_member(member, method, req, timeout_ms)
        if not isinstance(reply, result.Success):
            return False
        with self._watch_disk():
            handle(self._clock.now(), req, now, reply.unwrap())
            self.apply_committed()
        self.member_acked.notify()
        return True

    # Commands.

    def _log_ms(self) -> int:
        elapsed = self._clock.now() - self._ready_since
        return self._log_ms_base + int(elapsed)

    async def propose(
        self, commands: list[control_pb2.Command]
    ) -> list[control_pb2.CommandResult] | None:
        """Commits commands; returns None if the outcome is unknown here.

        Commands are refused together if one of them is too long.
        """
        if not self.replica.is_ready or self._handing_over:
            return None
        longest = max((cmd.ByteSize() for cmd in commands), default=0)
        if longest > self._log_limits.command_bytes:
            return [self._refuse_long_command(longest)] * len(commands)
        pending = [self._pending.add(command) for command in commands]
        self._has_pending.notify()
        for waiting in pending:
            await waiting.done.wait()
        if any(waiting.result is None for waiting in pending):
            return None
        return [waiting.result for waiting in pending]

    def _refuse_long_command(self, size: int) -> control_pb2.CommandResult:
        limit = self._log_limits.command_bytes
        logger.warning(
            "refused a long command", command_bytes=size, allowed_bytes=limit
        )
        return control_pb2.CommandResult(
            status=control_pb2.STATUS_REFUSED,
            message=(
                f"the change takes {size} bytes in the log, and {limit} are "
                "allowed; make it smaller, or give the control VMs more memory "
                "and larger disks"
            ),
        )

    async def _run_batches(self) -> None:
        """Commits all pending commands with one sync of the disk."""
        while True:
            if not self._pending.queued:
                await self._has_pending.wait()
            batch = self._pending.take_batch()
            log_ms = self._log_ms()
            for pending in batch:
                pending.command.log_ms = log_ms
            span = self.replica.propose([p.command for p in batch])
            if span is None:
                for pending in batch:
                    self._pending.finish(pending, None)
                continue
            for offset, pending in enumerate(batch):
                index = span[0] + offset
                self._uncommitted[index] = (self.replica.term, pending)
            started_at = self._clock.now()
            await self._sync_after_sending()
            pause_ms = self._get_batch_pause_ms(self._clock.now() - started_at)
            await anyio.sleep(clock.seconds(pause_ms))

    def _get_batch_pause_ms(self, sync_ms: clock.Millis) -> clock.Millis:
        """Returns how long to wait before the next batch.

        Nothing else is done during a sync. A slow one leaves time after it to
        read and answer the messages that arrived meanwhile.
        """
        heartbeat_ms = self._timings.heartbeat_ms
        return 0.0 if sync_ms < heartbeat_ms else heartbeat_ms

    async def confirm_leadership(self, since: clock.Millis) -> bool:
        """Waits until a majority acknowledged this leader after a time.

        Returns:
            False if this node is not the leader.
        """
        replica = self.replica
        if replica.is_ready and (
            replica.quorum_acked_at(self._clock.now()) >= since
        ):
            return True
        for progress in replica.followers.values():
            if progress.acked_sent_at < since:
                progress.sent_at = float("-inf")
        self._send_due.notify()
        while replica.is_ready:
            if replica.quorum_acked_at(self._clock.now()) >= since:
                return True
            await self.member_acked.wait(
                clock.seconds(self._timings.heartbeat_ms)
            )
        return False
