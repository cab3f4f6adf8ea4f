"""Steps that try many histories of the replicated state."""

import dataclasses

from behave import then
from behave import when
import hypothesis
from hypothesis import strategies

from cardamomkeel.state import machine
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import claims
from cardamomkeel.wire import control_pb2

CLAIMERS = 4
LONGEST_HISTORY = 40
KEY = {"service": "creneau", "key": "key"}
FINGERPRINT = b"f" * 16
TARGETS = ("target-0#1", "target-1#1")


class Group:
    """The replicated state, and all commands that were ever sent to it."""

    def __init__(self):
        self.tables = tables_lib.Tables()
        self.index = 0
        self.log_ms = 0
        self.sent: list[control_pb2.Command] = []

    def apply(self, **kind) -> control_pb2.CommandResult:
        """Commits a command."""
        command = control_pb2.Command(**kind)
        self.sent.append(command)
        return self.commit(command)

    def commit(self, command: control_pb2.Command) -> control_pb2.CommandResult:
        """Commits a command or a late copy of one."""
        copy = control_pb2.Command()
        copy.CopyFrom(command)
        copy.log_ms = self.log_ms
        self.index += 1
        return machine.apply(self.tables, copy, self.index)

    def change_leader(self) -> None:
        """Has another node carry on from the same state."""
        state = self.tables.save()
        self.tables = tables_lib.Tables()
        self.tables.load(state)


@dataclasses.dataclass
class Claimer:
    """One sending of the request at one entry."""

    token: str
    session: int = 0
    granted: bool = False
    abandoned: bool = False
    dispatched: bool = False


class ClaimHistory:
    """Claimers that do what entries may do, in any order."""

    def __init__(self):
        self.group = Group()
        self.runs = 0
        self.claimers = [Claimer(str(n)) for n in range(CLAIMERS)]
        for claimer in self.claimers:
            self.join(claimer)

    def join(self, claimer: Claimer) -> None:
        """Opens a session; what was claimed in an older one is over."""
        joined = self.group.apply(
            entry_join=control_pb2.EntryJoin(
                name=claimer.token, nonce=str(self.group.index)
            )
        )
        claimer.session = joined.session

    def claim(self, claimer: Claimer) -> None:
        """Claims, and checks what is told of the key."""
        if claimer.abandoned or claimer.dispatched:
            return
        done = self.group.apply(
            claim=control_pb2.Claim(
                session=claimer.session, token=claimer.token, **KEY
            )
        )
        if done.claim_granted:
            claimer.granted = True
        if done.claim_granted or done.claim in (
            control_pb2.CLAIM_NONE,
            control_pb2.CLAIM_RELEASED,
        ):
            assert self.runs == 0, "a key that ran is told as not run"

    def _is_live(self, claimer: Claimer) -> bool:
        key = tables_lib.entry_key(claimer.session)
        return self.group.tables.get(key) is not None

    def dispatch(self, claimer: Claimer) -> None:
        """Runs the request, as a lease and a grant allow."""
        may = claimer.granted and not claimer.abandoned
        if may and not claimer.dispatched and self._is_live(claimer):
            claimer.dispatched = True
            self.runs += 1
            assert self.runs <= 1, "a key ran twice"

    def settle(self, claimer: Claimer) -> None:
        """Writes down what the claimer knows."""
        if not claimer.dispatched:
            claimer.abandoned = True
        state = claims.ANSWERED if claimer.dispatched else claims.RELEASED
        self.group.apply(
            settle=control_pb2.Settle(
                session=claimer.session,
                token=claimer.token,
                state=state,
                answer=control_pb2.Answer(status=200, body=b"first"),
                **KEY,
            )
        )

    def expire(self, claimer: Claimer) -> None:
        """Ends the session of an entry, which joins anew."""
        self.group.apply(
            entry_expire=control_pb2.EntryExpire(sessions=[claimer.session])
        )
        claimer.granted = False

    def copy(self, claimer: Claimer) -> None:
        """Commits an old command once more."""
        number = int(claimer.token) * len(self.group.sent) // CLAIMERS
        self.group.commit(self.group.sent[number])

    def resolve(self, claimer: Claimer) -> None:
        """Has an operator resolve the key by what really happened."""
        state = claims.ANSWERED if self.runs else claims.RELEASED
        self.group.apply(
            resolve=control_pb2.Resolve(
                change_id=f"{claimer.token}-{self.group.index}",
                state=state,
                **KEY,
            )
        )

    def sweep(self, claimer: Claimer) -> None:
        """Lets time pass and sweeps; less than keys are kept."""
        self.group.log_ms += 20_000 * (1 + int(claimer.token))
        self.group.apply(sweep=control_pb2.Sweep())

    def change_leader(self, claimer: Claimer) -> None:
        """Has another node lead."""
        self.group.change_leader()


# The steps of an ordinary run come more often than the others.
CLAIM_STEPS = (
    *[ClaimHistory.claim] * 4,
    *[ClaimHistory.dispatch] * 4,
    ClaimHistory.join,
    ClaimHistory.settle,
    ClaimHistory.expire,
    ClaimHistory.copy,
    ClaimHistory.resolve,
    ClaimHistory.sweep,
    ClaimHistory.change_leader,
)


def run_histories(count, strategy, try_one) -> None:
    """Tries the same histories in every run."""
    settings = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    settings(hypothesis.given(strategy)(try_one))()


@when("{count:d} histories of claims are tried")
def try_claims(context, count):
    tried = []

    def try_one(steps):
        history = ClaimHistory()
        for step, number in steps:
            step(history, history.claimers[number])
        tried.append(history.runs)

    steps = strategies.tuples(
        strategies.sampled_from(CLAIM_STEPS),
        strategies.integers(0, CLAIMERS - 1),
    )
    run_histories(
        count, strategies.lists(steps, max_size=LONGEST_HISTORY), try_one
    )
    context.tried = tried


@then("no key ran twice and no claim told an untruth")
def check_claims(context):
    print(f"{len(context.tried)} histories, {sum(context.tried)} with a run")
    assert sum(context.tried) > 0


@dataclasses.dataclass
class Sender:
    """One sending of a crashing request at one entry.

    Attributes:
        target: The target that its entry owns.
        token: Of its probe; empty for none.
        running: Whether a target runs it now.
    """

    target: str
    token: str = ""
    running: bool = False


class CrashHistory:
    """Entries that are sent one crashing request, in any order."""

    def __init__(self):
        self.group = Group()
        self.senders = [
            Sender(TARGETS[number % len(TARGETS)]) for number in range(CLAIMERS)
        ]
        self.crashes = 0
        self.at_first_crash = 0

    def send(self, sender: Sender) -> None:
        """Dispatches where that is allowed."""
        if sender.running:
            return
        key = tables_lib.quarantine_key(FINGERPRINT)
        if self.group.tables.get(key) is None:
            sender.running = True
            return
        sender.token = str(self.group.index)
        asked = self.group.apply(
            begin_probe=control_pb2.BeginProbe(
                fingerprint=FINGERPRINT, token=sender.token
            )
        )
        sender.running = asked.probe_granted

    def crash(self, sender: Sender) -> None:
        """Has the target crash, and reports it."""
        if not sender.running:
            return
        if not self.crashes:
            running = [other for other in self.senders if other.running]
            self.at_first_crash = len(running)
        self.crashes += 1
        sender.running = False
        self.group.apply(
            report_break=control_pb2.ReportBreak(
                fingerprint=FINGERPRINT,
                target=self._get_target(sender),
                probe_token=sender.token,
            )
        )
        assert self.crashes <= self.at_first_crash + 1, "crashed too many"

    def _get_target(self, sender: Sender) -> str:
        """Returns the target that ran it; a probe avoids the broken ones.

        No target is known to be another instance yet.
        """
        record = self.group.tables.get(tables_lib.quarantine_key(FINGERPRINT))
        if record is None or not sender.token:
            return sender.target
        broken = record.quarantine.targets
        others = [target for target in TARGETS if target not in broken]
        return others[0] if others else sender.target

    def change_leader(self, sender: Sender) -> None:
        """Has another node lead."""
        self.group.change_leader()


CRASH_STEPS = (
    CrashHistory.send,
    CrashHistory.crash,
    CrashHistory.change_leader,
)


@when("{count:d} histories of a crashing request are tried")
def try_crashes(context, count):
    tried = []

    def try_one(steps):
        history = CrashHistory()
        for step, number in steps:
            step(history, history.senders[number])
        tried.append(history.crashes)

    steps = strategies.tuples(
        strategies.sampled_from(CRASH_STEPS),
        strategies.integers(0, CLAIMERS - 1),
    )
    run_histories(
        count, strategies.lists(steps, max_size=LONGEST_HISTORY), try_one
    )
    context.tried = tried


@then("it crashed one server more than had it at the first crash, at most")
def check_crashes(context):
    print(f"{len(context.tried)} histories, most crashes {max(context.tried)}")
    assert max(context.tried) >= 2
