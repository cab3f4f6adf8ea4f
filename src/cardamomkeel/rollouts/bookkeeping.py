"""Sums up what entries report of one roll-out."""

import collections
import dataclasses

from cardamomkeel import clock
from cardamomkeel.policy import incarnations
from cardamomkeel.policy import rollout_steps
from cardamomkeel.policy import rollout_verdict
from cardamomkeel.rollouts import counts as counts_lib
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

# Millionths in a whole.
PPM = 1_000_000
# The length of a stratum of time during the trial. Every entry has reported
# twice in it.
STRATUM_MS = 1500.0
# The same while the share grows: with another share, trouble of a moment would
# hit more of the new version's requests. Entries report at the same time.
RAMP_STRATUM_MS = 450.0
# The rate of requests is measured over this time.
RATE_WINDOW_MS = 2500.0
MIN_RATE_WINDOW_MS = 900.0


@dataclasses.dataclass
class _Entry:
    """What one process has reported, in one session or more.

    Attributes:
        step: The step that it follows.
        old_running: Requests that it has at earlier versions.
        routes: Its counts, by route.
    """

    step: int = 0
    old_running: int = 0
    routes: dict[str, control_pb2.RolloutCounts] = dataclasses.field(
        default_factory=dict
    )


class Book:
    """The reports of all entries on one roll-out.

    Attributes:
        order: Identifies the roll-out.
    """

    def __init__(self, order: int):
        self.order = order
        # By process, and the process by session.
        self._entries: dict[int, _Entry] = {}
        self._processes: dict[int, int] = {}
        self._names: dict[int, str] = {}
        # Of the time in which both versions answer, and of the last steps.
        self._evidence = counts_lib.make_evidence()
        self._late_evidence = counts_lib.make_evidence()
        self._findings: list[rollout_verdict.Finding] = []
        self._late_findings: list[rollout_verdict.Finding] = []
        self._has_news = False
        self._has_returned = False
        self._doubt = ""
        self._stratum_at = float("-inf")
        self._stage = control_pb2.ROLLOUT_TRIAL
        self._requests = 0
        self._new_sent = 0
        self._work_ms = 0
        self._work_answers = 0
        # The number of requests at some times, oldest first.
        self._history: collections.deque[tuple[clock.Millis, int]] = (
            collections.deque()
        )

    def record(
        self,
        session: int,
        report: control_pb2.RolloutReport,
        row: control_pb2.RolloutRecord,
        now: clock.Millis,
    ) -> None:
        """Adds the newest report of a session.

        The first report of a process may reach back over steps with other
        shares, for one after a change of the leader. It then says how many
        requests there were, but nothing of the versions.
        """
        self._begin_stratum(row, now)
        is_baseline = row.step > 1 and report.process not in self._entries
        self._processes[session] = report.process
        entry = self._entries.setdefault(report.process, _Entry())
        entry.step = max(entry.step, report.step)
        entry.old_running = report.old_running
        self._doubt = self._doubt or report.doubt
        for newer in report.routes:
            older = entry.routes.get(newer.route, control_pb2.RolloutCounts())
            if (newer.new_sent, newer.old_ended) != (
                max(newer.new_sent, older.new_sent),
                max(newer.old_ended, older.old_ended),
            ):
                # A report that was held up on its way.
                continue
            if newer != older:
                entry.routes[newer.route] = newer
                self._add_requests(newer, older)
                if not is_baseline:
                    self._has_news = True
                    self._add_results(newer, older)
        if is_baseline:
            self._history.clear()

    def _add_requests(
        self,
        newer: control_pb2.RolloutCounts,
        older: control_pb2.RolloutCounts,
    ) -> None:
        sent = newer.new_sent - older.new_sent
        self._new_sent += sent
        self._requests += sent + max(0, newer.old_ended - older.old_ended)

    def _add_results(
        self,
        newer: control_pb2.RolloutCounts,
        older: control_pb2.RolloutCounts,
    ) -> None:
        if self._stage in (
            control_pb2.ROLLOUT_TRIAL,
            control_pb2.ROLLOUT_RAMP,
        ):
            counts_lib.add_difference(self._evidence, newer, older)
        if self._stage != control_pb2.ROLLOUT_TRIAL:
            counts_lib.add_difference(self._late_evidence, newer, older)
        self._work_ms += max(0, newer.new_work_ms - older.new_work_ms)
        self._work_answers += max(
            0,
            (newer.new_ended - newer.new_failed)
            - (older.new_ended - older.new_failed),
        )

    def _begin_stratum(
        self, row: control_pb2.RolloutRecord, now: clock.Millis
    ) -> None:
        """Begins a new stratum of time if one is due.

        When all requests go to the new version, the earlier one answers
        nothing to compare with but what it answered in the step before.
        """
        has_moved, before, self._stage = (
            row.stage != self._stage,
            self._stage,
            row.stage,
        )
        if has_moved and row.stage == control_pb2.ROLLOUT_RAMP:
            self._has_returned = before == control_pb2.ROLLOUT_ALL
            self._late_evidence = counts_lib.make_evidence()
            self._late_findings = []
        if row.stage == control_pb2.ROLLOUT_TRIAL:
            is_due = now - self._stratum_at >= STRATUM_MS
        else:
            is_due = row.stage == control_pb2.ROLLOUT_RAMP and (
                has_moved or now - self._stratum_at >= RAMP_STRATUM_MS
            )
        if is_due:
            self._stratum_at = now
            for evidence in self._evidence.values():
                evidence.begin_stratum()

    def make_progress(
        self,
        row: control_pb2.RolloutRecord,
        tables: tables_lib.Tables,
        log_ms: int,
        now: clock.Millis,
    ) -> rollout_steps.Progress:
        """Returns the state of the roll-out.

        Args:
            row: Its row.
            tables: The replicated state.
            log_ms: The time on the log's clock.
            now: The time.
        """
        sessions = {entry.session: entry.name for entry in tables.entries()}
        lost = self._find_lost(sessions)
        entries = [
            self._entries[self._processes[session]]
            for session in sessions
            if session in self._processes
        ]
        if self._has_news:
            self._has_news = False
            self._findings = [e.find() for e in self._evidence.values()]
            self._late_findings = [
                e.find() for e in self._late_evidence.values()
            ]
        verdict, found = rollout_verdict.judge(self._findings, False)
        gate, _ = rollout_verdict.judge(self._findings, True)
        late, late_found = rollout_verdict.judge(self._late_findings, True)
        if late_found.chance < found.chance:
            found = late_found
        finding = str(found)
        if self._doubt:
            verdict = gate = rollout_verdict.Verdict.BAD
            finding = f"an entry stopped: {self._doubt}"
        new_slots, old_slots = _count_slots(row, tables, log_ms)
        return rollout_steps.Progress(
            stage=rollout_steps.Stage(row.stage),
            share=row.share_ppm / PPM,
            elapsed_ms=float(log_ms - row.ordered_log_ms),
            in_step_ms=float(log_ms - row.step_log_ms),
            duration_ms=float(row.duration_ms),
            requests=self._requests,
            requests_per_s=self._measure_rate(
                now, float(log_ms - row.ordered_log_ms)
            ),
            new_sent=self._new_sent,
            new_slots=new_slots,
            old_slots=old_slots,
            work_ms=self._work_ms / max(1, self._work_answers),
            all_confirmed=len(entries) == len(sessions)
            and all(entry.step >= row.step for entry in entries),
            old_running=sum(entry.old_running for entry in entries),
            entries_lost=lost,
            verdict=verdict,
            gate_verdict=gate,
            late_verdict=late,
            has_returned=self._has_returned,
            finding=finding,
        )

    def _find_lost(self, sessions: dict[int, str]) -> bool:
        """Returns whether an entry lost its session and has no other yet."""
        self._names.update(sessions)
        return bool(set(self._names.values()) - set(sessions.values()))

    def _measure_rate(
        self, now: clock.Millis, elapsed_ms: clock.Millis
    ) -> float:
        """Returns the requests per second of late, at first since the order."""
        self._history.append((now, self._requests))
        while now - self._history[0][0] > RATE_WINDOW_MS:
            self._history.popleft()
        began, before = self._history[0]
        if now - began < MIN_RATE_WINDOW_MS:
            return self._requests / max(clock.seconds(elapsed_ms), 1.0)
        return (self._requests - before) / clock.seconds(now - began)


def _count_slots(
    row: control_pb2.RolloutRecord, tables: tables_lib.Tables, log_ms: int
) -> tuple[int, int]:
    """Returns the slots of the new servers, and of the earlier ones.

    New servers in cold start count only if there are no earlier ones.
    """
    outs = {(out.data_centre, out.address) for out in tables.outs()}
    new = old = cold = 0
    for server in tables.instances():
        if server.service != row.service or server.state != incarnations.READY:
            continue
        names = {
            (server.data_centre, ""),
            (server.data_centre, server.address),
            ("", server.address),
        }
        if outs & names:
            continue
        if server.software in row.barred:
            continue
        if server.software != row.version:
            old += server.slots
        elif server.cold_until_log_ms <= log_ms:
            new += server.slots
        else:
            cold += server.slots
    return (new, old) if old else (new + cold, 0)
