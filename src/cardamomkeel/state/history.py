"""Descriptions of the newest changes of the replicated state.

Every control VM applies the same commands, so each has the same history since
its newest snapshot.
"""

import collections
import collections.abc
import dataclasses

from cardamomkeel import clock
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

# Bounds memory: a change takes some hundred bytes.
MAX_CHANGES = 2000

OK = control_pb2.STATUS_OK


@dataclasses.dataclass(frozen=True)
class Change:
    """A change that one command made to one subject.

    Attributes:
        subject: The entry, target, service or data centre that changed.
        message: A description of the change.
        log_ms: The time of the change on the log's clock.
        index: The log index of the command.
    """

    subject: str
    message: str
    log_ms: int
    index: int


Descriptions = collections.abc.Iterator[tuple[str, str]]


class History:
    """The newest changes of the replicated state, up to a bounded number."""

    def __init__(self, clk: clock.Clock):
        self._clock = clk
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self._entry_names: dict[int, str] = {}
        self._log_ms = 0
        self._last_applied_at = clk.now()

    def load(self, tables: tables_lib.Tables) -> None:
        """Starts an empty history from a snapshot, which holds none."""
        self._changes.clear()
        self._entry_names = {e.session: e.name for e in tables.entries()}
        self._log_ms = tables.log_ms
        self._last_applied_at = self._clock.now()

    def record(
        self,
        command: control_pb2.Command,
        result: control_pb2.CommandResult,
        tables: tables_lib.Tables,
        index: int,
    ) -> None:
        """Adds the changes of an applied command."""
        self._log_ms = tables.log_ms
        self._last_applied_at = self._clock.now()
        kind = command.WhichOneof("kind")
        describe = _DESCRIBERS.get(kind)
        if describe is None:
            return
        for subject, message in describe(self, getattr(command, kind), result):
            self._changes.append(Change(subject, message, tables.log_ms, index))

    def age_ms(self, change: Change) -> clock.Millis:
        """Returns the time since a change.

        The log's clock stops while there is no leader, so the change may be
        older than that.
        """
        since = self._clock.now() - self._last_applied_at
        return self._log_ms - change.log_ms + since

    def iter_matching(self, text: str) -> collections.abc.Iterator[Change]:
        """Yields the changes whose subject or message contains a text."""
        for change in self._changes:
            if text in change.subject or text in change.message:
                yield change

    def entry_name(self, session: int) -> str:
        """Returns the name of the entry that has or had a session."""
        return self._entry_names.get(session, f"session {session}")

    # Descriptions of each kind of command, as subject and message.

    def describe_settings(
        self,
        cmd: control_pb2.ChangeSettings,
        result: control_pb2.CommandResult,
    ) -> Descriptions:
        """Describes an accepted or refused change of the settings."""
        if result.status == OK:
            yield "settings", f"revision {result.revision} by {cmd.operator}"
            return
        yield (
            "settings",
            f"a change by {cmd.operator} was refused: {result.message}",
        )

    def describe_take_out(
        self, cmd: control_pb2.TakeOut, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes taking a data centre or a target out of service."""
        subject = cmd.address or cmd.data_centre
        if result.status == OK:
            yield subject, f"taken out of service by {cmd.operator}"
        else:
            yield (
                subject,
                f"{cmd.operator} may not take it out: {result.message}",
            )

    def describe_bring_back(
        self, cmd: control_pb2.BringBack, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes bringing a data centre or a target back."""
        if result.status == OK:
            subject = cmd.address or cmd.data_centre
            yield subject, f"brought back into service by {cmd.operator}"

    def describe_join(
        self, cmd: control_pb2.EntryJoin, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes an entry that joined."""
        if result.status == OK and result.session not in self._entry_names:
            self._entry_names[result.session] = cmd.name
            yield cmd.name, f"joined as session {result.session}"

    def describe_expire(
        self, cmd: control_pb2.EntryExpire, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes entries whose leases expired."""
        for session in cmd.sessions:
            yield (
                self.entry_name(session),
                f"lost session {session}: its lease ran out; its targets get "
                "other owners",
            )

    def describe_leave(
        self, cmd: control_pb2.EntryLeave, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes an entry that is stopping or has stopped."""
        if result.status == OK:
            what = "has stopped" if cmd.finished else "is stopping"
            yield self.entry_name(cmd.session), what

    def describe_target_announced(
        self, cmd: control_pb2.TargetSeen, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes the announcement of a target."""
        details = f"{cmd.service}: {cmd.state}, instance {cmd.instance}"
        if result.status == OK:
            yield cmd.address, f"announced {details}"
        else:
            yield cmd.address, f"its announcement was refused: {result.message}"

    def describe_target_removed(
        self, cmd: control_pb2.TargetGone, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes a target that no longer announces itself."""
        yield cmd.address, "is forgotten: it no longer announces itself"

    def describe_assign(
        self, cmd: control_pb2.AssignOwners, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes the assignment of targets to owners."""
        for assignment in cmd.assignments:
            yield (
                assignment.address,
                f"is to be owned by {self.entry_name(assignment.session)}",
            )

    def describe_release(
        self, cmd: control_pb2.ReleaseTargets, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes targets that their owner handed over."""
        for released in cmd.released:
            yield (
                released.address,
                f"was handed over by {self.entry_name(cmd.session)} with "
                f"{released.residual_slots} slots taken for "
                f"{released.residual_ms} ms",
            )

    def describe_broken_connection(
        self, cmd: control_pb2.ReportBreak, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes a request that broke a target's connection."""
        details = "; it is refused now" if result.quarantined else ""
        yield (
            cmd.service,
            f"request {cmd.fingerprint.hex()} broke the connection of "
            f"{cmd.target}{details}",
        )

    def describe_settle(
        self, cmd: control_pb2.Settle, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes a request whose outcome is unknown."""
        if cmd.state == control_pb2.CLAIM_UNKNOWN:
            yield cmd.service, f"the outcome of key {cmd.key} is unknown"

    def describe_start_rollout(
        self, cmd: control_pb2.StartRollout, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes an order to roll out a version."""
        order = f"roll-out to {cmd.version}"
        if result.status == OK:
            yield cmd.service, f"{order} ordered by {cmd.operator}"
        else:
            yield cmd.service, f"{order} was refused: {result.message}"

    def describe_move_rollout(
        self, cmd: control_pb2.MoveRollout, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes a step of a roll-out."""
        if result.status == OK:
            stage = control_pb2.RolloutStage.Name(cmd.stage)
            yield cmd.service, f"{stage}, {cmd.share_ppm} ppm: {cmd.reason}"

    def describe_withdraw_rollout(
        self,
        cmd: control_pb2.WithdrawRollout,
        result: control_pb2.CommandResult,
    ) -> Descriptions:
        """Describes a roll-out that an operator withdrew."""
        if result.status == OK:
            yield cmd.service, f"roll-out withdrawn by {cmd.operator}"

    def describe_resolve(
        self, cmd: control_pb2.Resolve, result: control_pb2.CommandResult
    ) -> Descriptions:
        """Describes a claim or quarantine that an operator resolved."""
        subject = cmd.key or f"request {cmd.fingerprint.hex()}"
        if result.status == OK:
            yield cmd.service, f"{subject} was resolved by {cmd.operator}"


_DESCRIBERS: dict[str, collections.abc.Callable[..., Descriptions]] = {
    "change_settings": History.describe_settings,
    "take_out": History.describe_take_out,
    "bring_back": History.describe_bring_back,
    "entry_join": History.describe_join,
    "entry_expire": History.describe_expire,
    "entry_leave": History.describe_leave,
    "target_seen": History.describe_target_announced,
    "target_gone": History.describe_target_removed,
    "assign_owners": History.describe_assign,
    "release_targets": History.describe_release,
    "report_break": History.describe_broken_connection,
    "settle": History.describe_settle,
    "resolve": History.describe_resolve,
    "start_rollout": History.describe_start_rollout,
    "move_rollout": History.describe_move_rollout,
    "withdraw_rollout": History.describe_withdraw_rollout,
}
