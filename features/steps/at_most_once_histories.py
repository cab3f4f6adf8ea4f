"""Steps that try many histories of commands on the replicated state."""

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
MAX_STEPS = 40
KEY = {"service": "creneau", "key": "key"}
FINGERPRINT = b"f" * 16
TARGETS = ("target-0#1", "target-1#1")


class Group:
    """The replicated state and all commands that were sent to it."""

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
        """Commits a command, or a delayed copy of one."""
        copy = control_pb2.Command()
        copy.CopyFrom(command)
        copy.log_ms = self.log_ms
        self.index += 1
        return machine.apply(self.tables, copy, self.index)

    def change_leader(self) -> None:
        """Restores the state in another node, as after an election."""
        state = self.tables.save()
        self.tables = tables_lib.Tables()
        self.tables.load(state)


@dataclasses.dataclass
class Claimer:
    """An entry that tries to claim and run the request."""

    token: str
    session: int = 0
    granted: bool = False
    abandoned: bool = False
    dispatched: bool = False


class ClaimHistory:
    """Claimers that act as entries may act, in any order."""

    def __init__(self):
        self.group = Group()
        self.runs = 0
        self.claimers = [Claimer(str(n)) for n in range(CLAIMERS)]
        for claimer in self.claimers:
            self.join(claimer)

    def join(self, claimer: Claimer) -> None:
        """Opens a session; claims of an older session are void."""
        joined = self.group.apply(
            entry_join=control_pb2.EntryJoin(
                name=claimer.token, nonce=str(self.group.index)
            )
        )
        claimer.session = joined.session

    def claim(self, claimer: Claimer) -> None:
        """Claims the key and checks the result."""
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
            assert self.runs == 0, "a key that ran is reported as not run"

    def _is_live(self, claimer: Claimer) -> bool:
        key = tables_lib.entry_key(claimer.session)
        return self.group.tables.get(key) is not None

    def dispatch(self, claimer: Claimer) -> None:
        """Runs the request if the session is live and the claim granted."""
        is_allowed = claimer.granted and not claimer.abandoned
        if is_allowed and not claimer.dispatched and self._is_live(claimer):
            claimer.dispatched = True
            self.runs += 1
            assert self.runs <= 1, "a key ran twice"

    def settle(self, claimer: Claimer) -> None:
        """Settles the claim by whether the request was dispatched."""
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
        """Expires the session of an entry."""
        self.group.apply(
            entry_expire=control_pb2.EntryExpire(sessions=[claimer.session])
        )
        claimer.granted = False

    def copy(self, claimer: Claimer) -> None:
        """Commits an old command again."""
        number = int(claimer.token) * len(self.group.sent) // CLAIMERS
        self.group.commit(self.group.sent[number])

    def resolve(self, claimer: Claimer) -> None:
        """Has an operator resolve the key as it actually ran or not."""
        state = claims.ANSWERED if self.runs else claims.RELEASED
        self.group.apply(
            resolve=control_pb2.Resolve(
                change_id=f"{claimer.token}-{self.group.index}",
                state=state,
                **KEY,
            )
        )

    def sweep(self, claimer: Claimer) -> None:
        """Lets less time pass than keys are kept, and sweeps."""
        self.group.log_ms += 20_000 * (1 + int(claimer.token))
        self.group.apply(sweep=control_pb2.Sweep())

    def change_leader(self, claimer: Claimer) -> None:
        """Makes another node the leader."""
        self.group.change_leader()


# The steps of an ordinary run are sampled more often than the others.
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


def run_histories(count, strategy, run_history) -> None:
    """Runs a test on the same sequence of random histories each time.

    With `derandomize`, Hypothesis derives the histories from the source text
    of `run_history`: a test with another text runs on others.
    """
    settings = hypothesis.settings(
        max_examples=count,
        derandomize=True,
        deadline=None,
        database=None,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    settings(hypothesis.given(strategy)(run_history))()


@when("{count:d} histories of claims are tried")
def try_claims(context, count):
    tried = []

    # The source text of try_one seeds the examples: see run_histories.
    def try_one(steps):
        history = ClaimHistory()
        for step, number in steps:
            step(history, history.claimers[number])
        tried.append(history.runs)

    steps = strategies.tuples(
        strategies.sampled_from(CLAIM_STEPS),
        strategies.integers(0, CLAIMERS - 1),
    )
    run_histories(count, strategies.lists(steps, max_size=MAX_STEPS), try_one)
    context.results = tried


@then("no key ran twice and no claim had a wrong result")
def check_claims(context):
    print(
        f"{len(context.results)} histories, {sum(context.results)} with a run"
    )
    assert sum(context.results) > 0


@dataclasses.dataclass
class Sender:
    """An attempt at a crashing request at one entry.

    Attributes:
        target: The target that the entry owns.
        token: The token of the probe; empty for none.
        running: Whether a target runs the request now.
    """

    target: str
    token: str = ""
    running: bool = False


class CrashHistory:
    """Entries that receive the same crashing request, in any order."""

    def __init__(self):
        self.group = Group()
        self.senders = [
            Sender(TARGETS[number % len(TARGETS)]) for number in range(CLAIMERS)
        ]
        self.crashes = 0
        self.running_at_first_crash = 0

    def send(self, sender: Sender) -> None:
        """Dispatches the request if that is allowed."""
        if sender.running:
            return
        key = tables_lib.quarantine_key(FINGERPRINT)
        if self.group.tables.get(key) is None:
            sender.running = True
            return
        sender.token = str(self.group.index)
        probe_result = self.group.apply(
            begin_probe=control_pb2.BeginProbe(
                fingerprint=FINGERPRINT, token=sender.token
            )
        )
        sender.running = probe_result.probe_granted

    def crash(self, sender: Sender) -> None:
        """Crashes the target and reports the broken connection."""
        if not sender.running:
            return
        if not self.crashes:
            running = [other for other in self.senders if other.running]
            self.running_at_first_crash = len(running)
        self.crashes += 1
        sender.running = False
        self.group.apply(
            report_break=control_pb2.ReportBreak(
                fingerprint=FINGERPRINT,
                target=self._get_target(sender),
                probe_token=sender.token,
            )
        )
        assert self.crashes <= self.running_at_first_crash + 1, (
            "crashed too many targets"
        )

    def _get_target(self, sender: Sender) -> str:
        """Returns the target that ran the request.

        A probe avoids targets that the request broke. All targets keep their
        instance.
        """
        record = self.group.tables.get(tables_lib.quarantine_key(FINGERPRINT))
        if record is None or not sender.token:
            return sender.target
        broken = record.quarantine.targets
        others = [target for target in TARGETS if target not in broken]
        return others[0] if others else sender.target

    def change_leader(self, sender: Sender) -> None:
        """Makes another node the leader."""
        self.group.change_leader()


CRASH_STEPS = (
    CrashHistory.send,
    CrashHistory.crash,
    CrashHistory.change_leader,
)


@when("{count:d} histories of a crashing request are tried")
def try_crashes(context, count):
    tried = []

    # The source text of try_one seeds the examples: see run_histories.
    def try_one(steps):
        history = CrashHistory()
        for step, number in steps:
            step(history, history.senders[number])
        tried.append(history.crashes)

    steps = strategies.tuples(
        strategies.sampled_from(CRASH_STEPS),
        strategies.integers(0, CLAIMERS - 1),
    )
    run_histories(count, strategies.lists(steps, max_size=MAX_STEPS), try_one)
    context.results = tried


@then("it crashed at most one more server than ran it at the first crash")
def check_crashes(context):
    print(
        f"{len(context.results)} histories, most crashes {max(context.results)}"
    )
    assert max(context.results) >= 2
