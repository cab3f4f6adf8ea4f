"""Runs a plan; calls are sent when due, without waiting for answers."""

import datetime
import os
import random

import anyio
import anyio.abc
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel.client import calls
from cardamomkeel.client import client as client_lib
from cardamomkeel.experiments import operator as operator_lib
from cardamomkeel.experiments import plan as plan_lib
from cardamomkeel.experiments import recorder as recorder_lib
from cardamomkeel.experiments import results

FIRST_PHASE = "start"
# Enough random bits that idempotency keys never collide.
KEY_BITS = 128

logger = loguru.logger


class Run:
    """One run of a plan.

    Latency is measured from the time when a call was due, so that a stall
    counts in every call that it delays.
    """

    def __init__(
        self,
        plan: plan_lib.Plan,
        client: client_lib.Client,
        operator: operator_lib.Operator | None,
        clk: clock.Clock,
    ):
        self._plan = plan
        self._client = client
        self._operator = operator
        self._clock = clk
        self._rng = random.Random(plan.seed)
        self._recorder = recorder_lib.Recorder()
        self._rate = plan.rate
        self._phase = FIRST_PHASE
        self._changes: list[results.ChangeFigures] = []

    async def run(self) -> results.Figures:
        """Sends all calls, applies all changes, and returns the figures."""
        load_before = os.getloadavg()[0]
        started = datetime.datetime.now().astimezone().isoformat()
        self._recorder.begin_phase(FIRST_PHASE)
        async with anyio.create_task_group() as tasks:
            await self._generate_load(tasks)
        return results.Figures(
            plan=self._plan.name,
            digest=self._plan.digest(),
            started=started,
            cores=os.cpu_count() or 0,
            load_before=round(load_before, 2),
            late_p99_ms=self._recorder.late_p99_ms(),
            phases=self._recorder.list_phases(),
            changes=self._changes,
        )

    async def _generate_load(self, tasks: anyio.abc.TaskGroup) -> None:
        started_at = self._clock.now()
        changes = list(self._plan.changes)
        due_ms = 0.0
        end_ms = self._plan.seconds * clock.MS_PER_SECOND
        while True:
            due_ms += self._rng.expovariate(self._rate) * clock.MS_PER_SECOND
            while changes and due_ms >= changes[0].at_s * clock.MS_PER_SECOND:
                change = changes.pop(0)
                due_ms = change.at_s * clock.MS_PER_SECOND
                await self._sleep_until(started_at + due_ms)
                self._begin_change(change, tasks)
            if due_ms >= end_ms:
                return
            due = started_at + due_ms
            await self._sleep_until(due)
            self._recorder.record_send_delay(self._clock.now() - due)
            tasks.start_soon(self._call, self._make_call(), due, self._phase)

    async def _sleep_until(self, until: clock.Millis) -> None:
        remaining_ms = until - self._clock.now()
        if remaining_ms > 0:
            await anyio.sleep(clock.seconds(remaining_ms))

    def _begin_change(
        self, change: plan_lib.Change, tasks: anyio.abc.TaskGroup
    ) -> None:
        self._phase = f"{change.at_s:g} s: {change.describe()}"
        self._recorder.begin_phase(self._phase)
        if change.rate is not None:
            self._rate = change.rate
        else:
            tasks.start_soon(self._apply_change, change)

    async def _apply_change(self, change: plan_lib.Change) -> None:
        done = await self._operator.apply(change)
        if isinstance(done, result.Success):
            self._changes.append(done.unwrap())
        else:
            logger.error("planned change failed", reason=str(done.failure()))

    def _make_call(self) -> calls.Call:
        kinds = self._plan.calls
        (kind,) = self._rng.choices(kinds, [kind.share for kind in kinds])
        key = f"{self._rng.getrandbits(KEY_BITS):032x}" if kind.once else ""
        return calls.Call(
            service=kind.service,
            method=kind.method,
            path=kind.path,
            body=b"x" * kind.body_bytes,
            deadline_ms=kind.deadline_ms,
            key=key,
        )

    async def _call(
        self, call: calls.Call, due: clock.Millis, phase: str
    ) -> None:
        reply = await self._client.call(call)
        elapsed_ms = self._clock.now() - due
        self._recorder.record_call(phase, call.service, reply, elapsed_ms)
