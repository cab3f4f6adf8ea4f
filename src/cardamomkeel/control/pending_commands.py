"""Commands that a leader has accepted and not committed yet."""

import dataclasses
import hashlib

import anyio

from cardamomkeel.wire import control_pb2

# The kinds that carry an identifier of their own: repeating one has no effect,
# whatever was committed in between. A command of another kind may have been
# undone in between, and is committed again.
IDENTIFIED_KINDS = frozenset(
    [
        "apply_routes",
        "begin_probe",
        "bring_back",
        "change_settings",
        "claim",
        "end_probe",
        "entry_join",
        "resolve",
        "settle",
        "take_out",
    ]
)


@dataclasses.dataclass
class PendingCommand:
    """A command that is not committed yet.

    Attributes:
        command: The command.
        digest: A digest of an identified command without its time; empty for
            one of another kind.
        done: Set once the outcome is known, or known to stay unknown.
        result: The result; None while the outcome is unknown.
    """

    command: control_pb2.Command
    digest: bytes = b""
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    result: control_pb2.CommandResult | None = None


class PendingCommands:
    """Queues commands for the next batch, and finds repeated ones.

    A command that is sent again before it is committed waits for the first one:
    its callers would wait for one commit after the other if each takes longer
    than they wait for an answer.

    Attributes:
        queued: The commands for the next batch.
    """

    def __init__(self):
        self.queued: list[PendingCommand] = []
        self._open: dict[bytes, PendingCommand] = {}

    def add(self, command: control_pb2.Command) -> PendingCommand:
        """Queues a command, unless it repeats one that is not committed."""
        if command.WhichOneof("kind") not in IDENTIFIED_KINDS:
            pending = PendingCommand(command)
            self.queued.append(pending)
            return pending
        digest = hashlib.blake2b(command.SerializeToString()).digest()
        if digest not in self._open:
            self._open[digest] = PendingCommand(command, digest)
            self.queued.append(self._open[digest])
        return self._open[digest]

    def take_batch(self) -> list[PendingCommand]:
        """Returns the queued commands, which leave the queue."""
        batch, self.queued = self.queued, []
        return batch

    def finish(
        self,
        pending: PendingCommand,
        outcome: control_pb2.CommandResult | None,
    ) -> None:
        """Wakes the callers that wait for a command.

        Args:
            pending: The command.
            outcome: Its result; None if that is unknown.
        """
        self._open.pop(pending.digest, None)
        pending.result = outcome
        pending.done.set()
