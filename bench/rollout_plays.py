"""Plays roll-outs on drawn loads, without a network.

The requests of all entries are drawn together. The counts reach the leader's
book twice a second, and a step reaches the entries a while later.
"""

import collections
import dataclasses
import heapq
import random
import sys

from cardamomkeel.policy import incarnations
from cardamomkeel.policy import rollout_steps
from cardamomkeel.policy import rollout_subset
from cardamomkeel.rollouts import bookkeeping
from cardamomkeel.rollouts import counts as counts_lib
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import rollouts as commands
from cardamomkeel.wire import control_pb2

TICK_MS = 20
REPORT_MS = 500
# From the leader's decision to the entries.
STEP_DELAY_MS = 250
SPAN_MS = 150
COLD_MS = 3000
# Callers wait no longer.
DEADLINE_MS = 3000.0
ROUTES = ("a", "b")
LIMITS = rollout_steps.Limits()
Stage = rollout_steps.Stage


@dataclasses.dataclass
class Load:
    """What happens during a play.

    Attributes:
        per_s: Requests per second.
        work_ms: Their usual work time.
        duration_s: From the order to the deadline.
        bad: How the new version is bad; empty for a good one.
        share: The part of its requests that it treats badly.
        noise: Whether machines are five times as slow on 30% of the time.
        tail: Whether 3% of the work takes seven times as long.
        trouble: Whether both versions fail and slow down for a while.
        slow_factor: How much longer bad slow work takes.
        late_s: From when on a version is bad that turns bad late.
    """

    per_s: float
    work_ms: float = 140.0
    duration_s: float = 12.0
    bad: str = ""
    share: float = 0.5
    noise: bool = False
    tail: bool = False
    trouble: bool = False
    slow_factor: float = 8.0
    late_s: float = 3.0


@dataclasses.dataclass
class Outcome:
    """How a play ended."""

    stage: Stage
    at_s: float
    requests: int
    sent: int
    reason: str

    @property
    def allowed(self):
        """What a bad version may get."""
        return LIMITS.share * self.requests + LIMITS.slack


class Play:
    """One roll-out on one drawn load."""

    def __init__(self, load, seed):
        self.load = load
        self.rng = random.Random(seed)
        self.tables = tables_lib.Tables()
        count = max(2, round(load.per_s / 5))
        self.old = [f"old-{n}" for n in range(count)]
        self.new = [f"new-{n}" for n in range(count)]
        self.slots = 4
        for name in self.old + self.new:
            is_new = name in self.new
            self.tables.put(
                tables_lib.instance_key(name),
                1,
                instance=control_pb2.InstanceRecord(
                    address=name,
                    instance=name,
                    service="s",
                    data_centre=f"dc-{int(name[4:]) % 3}",
                    slots=self.slots,
                    state=incarnations.READY,
                    software="v2" if is_new else "v1",
                    cold_until_log_ms=COLD_MS if is_new else 0,
                ),
            )
        self.tables.put(
            tables_lib.entry_key(7),
            2,
            entry=control_pb2.EntryRecord(session=7, name="e"),
        )
        commands.start(
            self.tables,
            control_pb2.StartRollout(
                service="s",
                version="v2",
                duration_ms=round(load.duration_s * 1000),
            ),
            3,
        )
        self.book = bookkeeping.Book(3)
        self.report = control_pb2.RolloutReport(service="s", order=3, process=1)
        self.rows = {
            route: control_pb2.RolloutCounts(route=route) for route in ROUTES
        }
        self.followed = self.row
        self.due = []
        self.running = collections.Counter()
        self.requests = 0
        self.spans = {}
        self.trouble_ms = self.rng.uniform(0, load.duration_s * 1000)

    @property
    def row(self):
        """The roll-out as the log has it."""
        return commands.find(self.tables, "s")

    def run(self):
        """Plays until the end and returns how it ended."""
        now, coming, ended = 0, [], None
        duration_ms = self.load.duration_s * 1000
        while now < duration_ms or (ended is None and now < 2 * duration_ms):
            self.tables.log_ms = now
            while coming and coming[0][0] <= now:
                self.followed = coming.pop(0)[1]
            self._settle(now)
            self._send(now)
            if now % REPORT_MS == 0 and ended is None:
                self._report(now)
            if now % 100 == 0 and ended is None and self._move(now):
                coming.append((now + STEP_DELAY_MS, self.row))
                if not commands.is_running(self.row):
                    ended = now
            now += TICK_MS
        sent = sum(row.new_sent for row in self.rows.values())
        return Outcome(
            Stage(self.row.stage),
            (ended or now) / 1000,
            self.requests,
            sent,
            self.row.reason,
        )

    def _settle(self, now):
        while self.due and self.due[0][0] <= now:
            _, _, kind, name, row, version = heapq.heappop(self.due)
            counted = [kind]
            if kind == "end":
                self.running[name] -= 1
                counted = ["ended"]
            for what in counted:
                field = f"{version}_{what}"
                setattr(row, field, getattr(row, field) + 1)

    def _send(self, now):
        mean = self.load.per_s * TICK_MS / 1000
        count = int(mean) + (self.rng.random() < mean % 1)
        for _ in range(count):
            self.requests += 1
            self._send_one(now, self.rng.choice(ROUTES))

    def _draws_new(self, row):
        if row.stage in (Stage.ALL, Stage.FINAL, Stage.COMPLETED):
            return True
        if row.stage == Stage.ROLLED_BACK:
            return False
        return self.rng.random() * 1e6 < row.share_ppm

    def _send_one(self, now, route):
        row = self.followed
        is_new = self._draws_new(row)
        names = self.new if is_new else self.old
        if is_new and row.stage in (Stage.TRIAL, Stage.RAMP):
            places = [(name, f"dc-{int(name[4:]) % 3}") for name in self.new]
            share = row.share_ppm / 1e6
            names = sorted(rollout_subset.pick(places, share, 3))
        drawn = self.rng.sample(names, min(2, len(names)))
        name = min(drawn, key=lambda n: self.running[n])
        factor, failed = self._draw_result(now, name, route, is_new)
        is_cold = is_new and now < COLD_MS + 1000
        self._schedule(now, name, route, is_new, factor, failed, is_cold)

    def _draw_result(self, now, name, route, is_new):
        load, rng = self.load, self.rng
        factor, failed = rng.uniform(0.8, 1.3), rng.random() < 0.002
        if load.tail and rng.random() < 0.03:
            factor *= 7
        if load.noise and self._is_noisy(name, now):
            factor *= 5
        if is_new and now < COLD_MS:
            factor *= 3
        if load.trouble and 0 <= now - self.trouble_ms < 3000:
            failed = failed or rng.random() < 0.3
            factor *= 4 if rng.random() < 0.3 else 1
        if is_new and self._is_bad(now, name, route):
            if "slow" in load.bad:
                factor *= load.slow_factor
            else:
                failed = True
        return factor, failed

    def _is_noisy(self, name, now):
        span = now // SPAN_MS
        if self.spans.get(name, (-1, False))[0] != span:
            self.spans[name] = (span, self.rng.random() < 0.3)
        return self.spans[name][1]

    def _is_bad(self, now, name, route):
        load = self.load
        if not load.bad or self.rng.random() >= load.share:
            return False
        if "late" in load.bad and now < load.late_s * 1000:
            return False
        if "one route" in load.bad and route != ROUTES[0]:
            return False
        if "under load" in load.bad:
            usual = load.per_s / len(self.new) * load.work_ms / 1000
            return self.running[name] >= 0.6 * usual
        return True

    def _schedule(self, now, name, route, is_new, factor, failed, is_cold):
        row, version = self.rows[route], "new" if is_new else "old"
        took_ms = min(self.load.work_ms * factor, DEADLINE_MS)
        if is_new:
            row.new_sent += 1
            row.new_work_ms += round(took_ms)
        self.running[name] += 1
        slow_ms = self.load.work_ms * counts_lib.SLOW_FACTOR
        events = [(now + took_ms, "end")]
        if failed:
            events.append((now + took_ms, "failed"))
        if not is_cold:
            is_slow = took_ms > slow_ms
            at = now + min(slow_ms, took_ms)
            events.append((at, "timed"))
            if is_slow:
                events.append((at, "slow"))
            very_slow_ms = self.load.work_ms * counts_lib.VERY_SLOW_FACTOR
            if took_ms > very_slow_ms:
                events.append((now + very_slow_ms, "very_slow"))
        for at, kind in events:
            order = self.rng.random()
            heapq.heappush(self.due, (at, order, kind, name, row, version))

    def _report(self, now):
        report = self.report
        report.step = self.followed.step
        report.old_running = sum(self.running[name] for name in self.old)
        del report.routes[:]
        report.routes.extend(self.rows.values())
        copied = control_pb2.RolloutReport()
        copied.CopyFrom(report)
        self.book.record(7, copied, self.row, float(now))

    def _move(self, now):
        row = self.row
        progress = self.book.make_progress(row, self.tables, now, float(now))
        move = rollout_steps.plan(progress, LIMITS)
        if move is None:
            return False
        commands.move(
            self.tables,
            control_pb2.MoveRollout(
                service="s",
                order=row.order,
                from_step=row.step,
                stage=int(move.stage),
                share_ppm=round(move.share * 1e6),
                reason=move.reason,
            ),
            self.row.order + row.step,
        )
        return True


KINDS = (
    "",
    "failing",
    "late failing",
    "under load failing",
    "one route failing",
    "slow",
    "late slow",
    "under load slow",
    "one route slow",
)


def main():
    """Plays each kind of version, with noise, and prints how it ended.

    Arguments: requests a second, seconds from the order to the deadline, and
    how many plays of each kind.
    """
    per_s, duration_s, plays = map(float, sys.argv[1:])
    for bad in KINDS:
        load = Load(per_s, bad=bad, noise=True, duration_s=duration_s)
        found = [Play(load, seed).run() for seed in range(int(plays))]
        completed = sum(o.stage is Stage.COMPLETED for o in found)
        used = max(o.sent / o.allowed for o in found)
        print(
            f"{bad or 'good'}: {completed} of {len(found)} completed, the last "
            f"ended at {max(o.at_s for o in found):.1f} s, at most {used:.2f} "
            "of the allowance of a bad version used"
        )


if __name__ == "__main__":
    main()
