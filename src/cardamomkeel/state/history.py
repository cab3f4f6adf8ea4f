"""What committed commands have changed lately, in words.

Every control VM follows the same commands, so each can tell the same
history, from its newest snapshot on.
"""

import collections
import collections.abc
import dataclasses

from cardamomkeel import clock
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

# A bound for memory and snapshots: some hundred bytes each.
MAX_CHANGES = 2000

OK = control_pb2.STATUS_OK


@dataclasses.dataclass(frozen=True)
class Change:
    """What one command changed about one subject.

    Attributes:
        subject: The entry, target, service or data centre it is about.
        message: What changed.
        log_ms: When, on the log's clock.
        index: The log entry that changed it.
    """

    subject: str
    message: str
    log_ms: int
    index: int


Told = collections.abc.Iterator[tuple[str, str]]


class History:
    """The newest changes of the replicated state."""

    def __init__(self, clk: clock.Clock):
        self._clock = clk
        self._changes: collections.deque[Change] = collections.deque(
            maxlen=MAX_CHANGES
        )
        self._names: dict[int, str] = {}
        self._log_ms = 0
        self._followed_at = clk.now()

    def load(self, tables: tables_lib.Tables) -> None:
        """Begins anew from a snapshot, which holds no history."""
        self._changes.clear()
        self._names = {e.session: e.name for e in tables.entries()}
        self._log_ms = tables.log_ms
        self._followed_at = self._clock.now()

    def follow(
        self,
        command: control_pb2.Command,
        done: control_pb2.CommandResult,
        tables: tables_lib.Tables,
        index: int,
    ) -> None:
        """Notes what a command changed, once it has been applied."""
        self._log_ms = tables.log_ms
        self._followed_at = self._clock.now()
        kind = command.WhichOneof("kind")
        tell = _TELLERS.get(kind)
        if tell is None:
            return
        for subject, message in tell(self, getattr(command, kind), done):
            self._changes.append(Change(subject, message, tables.log_ms, index))

    def age_ms(self, change: Change) -> clock.Millis:
        """Returns how long ago a change was made.

        The log's clock stands still while no control VM leads, so it may
        have been longer ago.
        """
        since = self._clock.now() - self._followed_at
        return self._log_ms - change.log_ms + since

    def iter_matching(self, text: str) -> collections.abc.Iterator[Change]:
        """Yields the changes whose subject or message holds some words."""
        for change in self._changes:
            if text in change.subject or text in change.message:
                yield change

    def name(self, session: int) -> str:
        """Returns the name of the entry that has, or had, a session."""
        return self._names.get(session, f"session {session}")

    # What each kind of command tells.

    def tell_settings(
        self,
        cmd: control_pb2.ChangeSettings,
        done: control_pb2.CommandResult,
    ) -> Told:
        """Tells of a change of the settings, accepted or not."""
        if done.status == OK:
            yield "settings", f"revision {done.revision} by {cmd.operator}"
            return
        yield (
            "settings",
            f"a change by {cmd.operator} was refused: {done.message}",
        )

    def tell_out(
        self, cmd: control_pb2.TakeOut, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of what was taken out of service."""
        subject = cmd.address or cmd.data_centre
        if done.status == OK:
            yield subject, f"taken out of service by {cmd.operator}"
        else:
            yield subject, f"{cmd.operator} may not take it out: {done.message}"

    def tell_back(
        self, cmd: control_pb2.BringBack, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of what was brought back into service."""
        if done.status == OK:
            subject = cmd.address or cmd.data_centre
            yield subject, f"brought back into service by {cmd.operator}"

    def tell_join(
        self, cmd: control_pb2.EntryJoin, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of an entry that joined."""
        if done.status == OK and done.session not in self._names:
            self._names[done.session] = cmd.name
            yield cmd.name, f"joined as session {done.session}"

    def tell_expire(
        self, cmd: control_pb2.EntryExpire, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of entries whose lease ran out."""
        for session in cmd.sessions:
            yield (
                self.name(session),
                f"lost session {session}: its lease ran out; its targets get "
                "other owners",
            )

    def tell_leave(
        self, cmd: control_pb2.EntryLeave, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of an entry that stops."""
        if done.status == OK:
            what = "has stopped" if cmd.finished else "is stopping"
            yield self.name(cmd.session), what

    def tell_seen(
        self, cmd: control_pb2.TargetSeen, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of a target that announced something new."""
        said = f"{cmd.service}: {cmd.state}, instance {cmd.instance}"
        if done.status == OK:
            yield cmd.address, f"announced {said}"
        else:
            yield cmd.address, f"its announcement was refused: {done.message}"

    def tell_gone(
        self, cmd: control_pb2.TargetGone, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of a target that went silent."""
        yield cmd.address, "is forgotten: it no longer announces itself"

    def tell_assign(
        self, cmd: control_pb2.AssignOwners, done: control_pb2.CommandResult
    ) -> Told:
        """Tells who is to own which target."""
        for one in cmd.assignments:
            yield one.address, f"is to be owned by {self.name(one.session)}"

    def tell_release(
        self, cmd: control_pb2.ReleaseTargets, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of targets that their owner handed over."""
        for one in cmd.released:
            yield (
                one.address,
                f"was handed over by {self.name(cmd.session)} with "
                f"{one.residual_slots} slots taken for {one.residual_ms} ms",
            )

    def tell_break(
        self, cmd: control_pb2.ReportBreak, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of a request that broke a target's connection."""
        said = "; it is refused now" if done.quarantined else ""
        yield (
            cmd.service,
            f"request {cmd.fingerprint.hex()} broke the connection of "
            f"{cmd.target}{said}",
        )

    def tell_settle(
        self, cmd: control_pb2.Settle, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of a request that nobody knows the end of."""
        if cmd.state == control_pb2.CLAIM_UNKNOWN:
            yield cmd.service, f"the outcome of key {cmd.key} is unknown"

    def tell_resolve(
        self, cmd: control_pb2.Resolve, done: control_pb2.CommandResult
    ) -> Told:
        """Tells of what operators resolved."""
        subject = cmd.key or f"request {cmd.fingerprint.hex()}"
        if done.status == OK:
            yield cmd.service, f"{subject} was resolved by {cmd.operator}"


_TELLERS: dict[str, collections.abc.Callable[..., Told]] = {
    "change_settings": History.tell_settings,
    "take_out": History.tell_out,
    "bring_back": History.tell_back,
    "entry_join": History.tell_join,
    "entry_expire": History.tell_expire,
    "entry_leave": History.tell_leave,
    "target_seen": History.tell_seen,
    "target_gone": History.tell_gone,
    "assign_owners": History.tell_assign,
    "release_targets": History.tell_release,
    "report_break": History.tell_break,
    "settle": History.tell_settle,
    "resolve": History.tell_resolve,
}
