"""Selects a target for a request; the request waits while none is free."""

import collections
import collections.abc
import random

from cardamomkeel import clock
from cardamomkeel.gateway import load_probes
from cardamomkeel.gateway import overload as overload_lib
from cardamomkeel.gateway import request_context
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.gateway import wait_queue
from cardamomkeel.policy import placement
from cardamomkeel.policy import push_back
from cardamomkeel.rollouts import entry as rollouts_lib

# A request waits for a target in the data centre of its entry for at most this
# share of its objective.
NEAR_WAIT_SHARE = 0.25
# A request waits for at most this share of its remaining time: the rest is
# enough to be answered, or to be rejected and sent again.
MAX_WAIT_SHARE = 0.4
# How often targets are probed before one is selected. Each round probes one
# target more than the round before.
MAX_PROBE_ROUNDS = 4
# How often a waiting request looks for a target again.
RECHECK_INTERVAL_MS = 20.0
# A shorter timer may end before the clock has advanced.
MIN_WAIT_MS = 1.0


class _Excluded:
    """The targets that a request may not be sent to."""

    def __init__(
        self,
        ctx: request_context.RequestContext,
        failed: list[target_lib.Target],
        rollouts: rollouts_lib.EntryRollouts,
    ):
        self._failed = failed
        self._rollouts = rollouts
        # What the new version has not answered goes to the earlier one.
        self._wants_new = bool(ctx.wants_new) and not (
            ctx.tried or ctx.unreachable
        )

    def __contains__(self, target: target_lib.Target) -> bool:
        return target in self._failed or not self._rollouts.allows(
            target, self._wants_new
        )


class TargetSelector:
    """Selects targets and queues the requests that wait for one."""

    def __init__(
        self,
        targets: targets_lib.Targets,
        prober: load_probes.LoadProber,
        clk: clock.Clock,
        rng: random.Random,
        overload: overload_lib.Overload,
        rollouts: rollouts_lib.EntryRollouts | None = None,
    ):
        self._rollouts = rollouts
        self._targets = targets
        self._prober = prober
        self._overload = overload
        self._clock = clk
        self._rng = rng
        self._queues: dict[str, wait_queue.WaitQueue] = collections.defaultdict(
            wait_queue.WaitQueue
        )

    def wake(self) -> None:
        """Wakes the first waiting request of each service."""
        for queue in self._queues.values():
            queue.wake()

    def is_late(self, ctx: request_context.RequestContext) -> bool:
        """Returns whether a request can no longer meet its objective."""
        expected = self._targets.expect_ms(ctx.service, ctx.route)
        return ctx.useful_until - self._clock.now() < expected

    async def select(
        self, ctx: request_context.RequestContext
    ) -> target_lib.Target | None:
        """Returns a target, waiting for one if necessary.

        If no target is found, returns None and sets `ctx.reason`.
        """
        queue = self._queues[ctx.service]
        late = self.is_late(ctx)
        load = self._overload.get(ctx.service)
        may_wait = not late or not self._overload.is_short(ctx.service)
        if not may_wait and not load.wait.has_found_room():
            self._overload.note_refusal(ctx, overload_lib.NOT_IN_TIME)
            return None
        if self._draws_new(ctx):
            target = await self.try_select(ctx, _demand(late))
            if target is not None:
                return target
            ctx.wants_new = False
        if not len(queue):
            target = await self._try_first(ctx, _demand(late))
            if target is not None:
                if may_wait:
                    load.wait.record(0.0, self._clock.now())
                return target
        if not may_wait:
            self._overload.note_refusal(ctx, overload_lib.NOT_IN_TIME)
            return None
        if self._is_pointless(ctx):
            return None
        waiter = self._try_join(ctx, queue, late)
        if waiter is None:
            return await self._select_without_wait(ctx, queue, late)
        try:
            return await self._wait(ctx, queue, waiter)
        finally:
            self._record_wait(ctx.service, queue, waiter)
            queue.leave(waiter, self._clock.now())
            queue.wake()

    def _record_wait(
        self,
        service: str,
        queue: wait_queue.WaitQueue,
        waiter: wait_queue.Waiter,
    ) -> None:
        """Records how long a request has waited at the head of the queue.

        Where it could have left, a wait for a near target tells of no shortage.
        """
        if not queue.is_first(waiter):
            return
        now = self._clock.now()
        since = max(waiter.head_since, waiter.remote_after)
        if now >= since:
            self._overload.get(service).wait.record(now - since, now)

    async def _try_first(
        self, ctx: request_context.RequestContext, demand: placement.Demand
    ) -> target_lib.Target | None:
        """Returns a target without waiting, elsewhere if the request leaves."""
        near = self._targets.has_near_target(ctx.service)
        choice = self._targets.choice
        if choice is not None:
            ctx.leaves_to = choice.draw(ctx.service)
            if ctx.leaves_to is not None:
                target = await self.try_select(ctx, demand)
                ctx.leaves_to = None
                if target is not None:
                    return target
        return await self.try_select(ctx, demand, include_remote=not near)

    def _try_join(
        self,
        ctx: request_context.RequestContext,
        queue: wait_queue.WaitQueue,
        late: bool,
    ) -> wait_queue.Waiter | None:
        now = self._clock.now()
        load = self._overload.get(ctx.service)
        interval_ms = self._targets.slot_interval_ms(ctx.service, ctx.route)
        return queue.try_join(
            late,
            ctx.priority,
            ctx.spent_ms > 0,
            self._wait_until(ctx, late, now),
            now,
            lambda ahead: load.wait.expect_ms(ahead, interval_ms, now),
        )

    def _wait_until(
        self,
        ctx: request_context.RequestContext,
        late: bool,
        began: clock.Millis,
    ) -> clock.Millis:
        """Returns until when a request may wait for a target."""
        if late:
            return began + (ctx.outgoing.deadline - began) * MAX_WAIT_SHARE
        return ctx.useful_until - self._targets.expect_ms(
            ctx.service, ctx.route
        )

    async def _select_without_wait(
        self,
        ctx: request_context.RequestContext,
        queue: wait_queue.WaitQueue,
        late: bool,
    ) -> target_lib.Target | None:
        """Returns a target that is free now, for a request that can't wait.

        A free slot belongs to the request at the head of the queue.
        """
        if not len(queue):
            target = await self.try_select(ctx, _demand(late))
            if target is not None:
                return target
        self._overload.note_refusal(ctx, overload_lib.WAIT_TOO_LONG)
        return None

    def _draws_new(self, ctx: request_context.RequestContext) -> bool:
        """Returns whether a request goes to a new version first."""
        if self._rollouts is None or ctx.wants_new is not None:
            return False
        ctx.wants_new = self._rollouts.draw(ctx.service)
        return ctx.wants_new

    def _exclude(
        self,
        ctx: request_context.RequestContext,
        failed: list[target_lib.Target],
    ) -> collections.abc.Container[target_lib.Target]:
        if self._rollouts is None or not self._rollouts.has_rules(ctx.service):
            return failed
        return _Excluded(ctx, failed, self._rollouts)

    def _is_pointless(self, ctx: request_context.RequestContext) -> bool:
        """Returns whether no target can serve a request before its deadline.

        Sets `ctx.reason` then, and the time at which one may.
        """
        return_ms = self._targets.time_to_return_ms(
            ctx.service, self._exclude(ctx, ctx.tried)
        )
        if return_ms is None:
            if not ctx.tried:
                ctx.reason = f"no target of {ctx.service} is known"
            return True
        remaining_ms = ctx.outgoing.deadline - self._clock.now()
        work_ms = self._targets.expect_ms(ctx.service, ctx.route)
        if not return_ms or push_back.should_wait(
            return_ms, work_ms, remaining_ms, remaining_ms * MAX_WAIT_SHARE
        ):
            return False
        ctx.reason = f"all targets of {ctx.service} push back"
        ctx.retry_after_ms = return_ms
        return True

    async def _wait(
        self,
        ctx: request_context.RequestContext,
        queue: wait_queue.WaitQueue,
        waiter: wait_queue.Waiter,
    ) -> target_lib.Target | None:
        """Waits for a target in this data centre, then for any target."""
        began = now = self._clock.now()
        may_wait_near_ms = placement.max_local_wait_ms(
            ctx.useful_until - began,
            self._targets.expect_ms(ctx.service, ctx.route),
        )
        remote_after = began + min(
            may_wait_near_ms - RECHECK_INTERVAL_MS,
            ctx.route.objective_ms * NEAR_WAIT_SHARE,
        )
        if self._targets.may_leave(ctx.service):
            waiter.remote_after = began if waiter.late else remote_after
        while now < waiter.until or not waiter.late:
            if not waiter.late and (now >= waiter.until or self.is_late(ctx)):
                if self._overload.is_short(ctx.service):
                    self._overload.note_refusal(ctx, overload_lib.NOT_IN_TIME)
                    return None
                self._record_wait(ctx.service, queue, waiter)
                queue.mark_late(waiter, self._wait_until(ctx, True, began), now)
            if queue.is_first(waiter):
                include_remote = waiter.late or now >= remote_after
                target = await self.try_select(
                    ctx, _demand(waiter.late), include_remote
                )
                if target is not None:
                    return target
                if self._is_pointless(ctx):
                    return None
            wait_ms = min(waiter.until - now, RECHECK_INTERVAL_MS)
            if not await queue.wait(waiter, max(MIN_WAIT_MS, wait_ms)):
                self._overload.note_refusal(ctx, overload_lib.DISPLACED)
                return None
            now = self._clock.now()
        ctx.reason = f"no target of {ctx.service} is free"
        return await self.try_select(ctx, placement.Demand.LAST_RESORT)

    async def try_select(
        self,
        ctx: request_context.RequestContext,
        demand: placement.Demand,
        include_remote: bool = True,
    ) -> target_lib.Target | None:
        """Returns the best target with a known load, without queueing."""
        any_answered = False
        for round_number in range(MAX_PROBE_ROUNDS):
            ranked = self._rank(ctx, demand, include_remote)
            if not ranked:
                return None
            now = self._clock.now()
            if not self._needs_probe(ranked[0], now):
                return ranked[0]
            unprobed = [t for t in ranked if self._needs_probe(t, now)]
            probed = unprobed[: 1 + round_number]
            await self._prober.probe(probed)
            now = self._clock.now()
            any_answered |= any(not self._needs_probe(t, now) for t in probed)
        ranked = self._rank(ctx, demand, include_remote)
        if not ranked:
            return None
        # The targets that answered probes are full or slow, and the next one
        # may be too. If none answered, for instance over a bad link, waiting
        # would not help.
        best_unprobed = self._needs_probe(ranked[0], self._clock.now())
        if (
            best_unprobed
            and any_answered
            and demand is not placement.Demand.LAST_RESORT
        ):
            return None
        return ranked[0]

    def _rank(
        self,
        ctx: request_context.RequestContext,
        demand: placement.Demand,
        include_remote: bool,
    ) -> list[target_lib.Target]:
        now = self._clock.now()
        return self._targets.rank(
            ctx.service,
            ctx.route,
            self._exclude(ctx, ctx.tried + ctx.unreachable),
            ctx.useful_until - now,
            ctx.outgoing.deadline - now,
            demand,
            include_remote,
            self._rng,
            ctx.leaves_to,
            bool(ctx.tried or ctx.unreachable),
        )

    def _needs_probe(
        self, target: target_lib.Target, now: clock.Millis
    ) -> bool:
        """Returns whether the load or cold start of a target is unknown."""
        if target.is_cold(now):
            return target.is_suspected(now)
        return target.reports_load is not False and not target.has_fresh_load(
            now
        )


def _demand(late: bool) -> placement.Demand:
    return placement.Demand.LATE if late else placement.Demand.IN_TIME
