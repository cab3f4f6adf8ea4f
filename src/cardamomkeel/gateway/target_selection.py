"""Finds a target for a request, after a wait where none is free."""

import collections
import random

from cardamomkeel import clock
from cardamomkeel.gateway import load_probes
from cardamomkeel.gateway import request_context
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.gateway import wait_queue
from cardamomkeel.policy import placement

# A request waits for a target near its entry for this share of its objective at
# the most.
NEAR_WAIT_SHARE = 0.25
# One that is late already may wait for this share of the time that is left:
# the rest is enough to be answered, or to be refused and come back.
LATE_WAIT_SHARE = 0.4
# How often targets are asked how busy they are before one is chosen: each
# time one more than the time before.
MAX_PROBE_ROUNDS = 4
# How often a request that waits looks again for a target.
RECHECK_INTERVAL_MS = 20.0


class TargetSelector:
    """Chooses targets, and keeps requests that wait for one in order."""

    def __init__(
        self,
        targets: targets_lib.Targets,
        prober: load_probes.LoadProber,
        clk: clock.Clock,
        rng: random.Random,
    ):
        self._targets = targets
        self._prober = prober
        self._clock = clk
        self._rng = rng
        self._queues: dict[str, wait_queue.WaitQueue] = collections.defaultdict(
            wait_queue.WaitQueue
        )

    def wake(self) -> None:
        """Has waiting requests look for targets again."""
        for queue in self._queues.values():
            queue.wake()

    def is_late(self, ctx: request_context.RequestContext) -> bool:
        """Tells whether a request can't be answered in time any more."""
        expected = self._targets.expect_ms(ctx.service)
        return ctx.useful_until - self._clock.now() < expected

    async def select(
        self, ctx: request_context.RequestContext
    ) -> target_lib.Target | None:
        """Returns a target, after a wait where none is free."""
        queue = self._queues[ctx.service]
        late = self.is_late(ctx)
        if not len(queue):
            near = self._targets.has_near_target(ctx.service)
            target = await self.try_select(
                ctx, _demand(late), include_remote=not near
            )
            if target is not None:
                return target
        if not self._targets.get(ctx.service):
            ctx.reason = f"no target of {ctx.service} is known"
            return None
        waiter = queue.try_join(late, ctx.route.priority)
        if waiter is None:
            # A slot that is free now is for the first of those that wait.
            ctx.reason = "too many requests wait"
            return None
        try:
            return await self._wait(ctx, queue, waiter)
        finally:
            queue.leave(waiter)
            queue.wake()

    async def _wait(
        self,
        ctx: request_context.RequestContext,
        queue: wait_queue.WaitQueue,
        waiter: wait_queue.Waiter,
    ) -> target_lib.Target | None:
        """Waits for a target near this entry, then for any."""
        began = now = self._clock.now()
        may_wait_near_ms = placement.may_wait_near_ms(
            ctx.useful_until - began, self._targets.expect_ms(ctx.service)
        )
        remote_after = began + min(
            may_wait_near_ms - RECHECK_INTERVAL_MS,
            ctx.route.objective_ms * NEAR_WAIT_SHARE,
        )
        until = began + (ctx.outgoing.deadline - began) * LATE_WAIT_SHARE
        while now < until:
            if not waiter.late and self.is_late(ctx):
                queue.mark_late(waiter)
            if queue.is_first(waiter):
                include_remote = waiter.late or now >= remote_after
                target = await self.try_select(
                    ctx, _demand(waiter.late), include_remote
                )
                if target is not None:
                    return target
            if not await queue.wait(
                waiter, min(until - now, RECHECK_INTERVAL_MS)
            ):
                ctx.reason = "a more urgent request took its place"
                return None
            now = self._clock.now()
        ctx.reason = f"no target of {ctx.service} is free"
        return await self.try_select(ctx, placement.Demand.LAST)

    async def try_select(
        self,
        ctx: request_context.RequestContext,
        demand: placement.Demand,
        include_remote: bool = True,
    ) -> target_lib.Target | None:
        """Returns the best target, once it has said how busy it is."""
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
        # Those that told are full or slow, and the next one may be too. Where
        # none could tell, as behind a bad link, to wait would not help.
        best_unprobed = self._needs_probe(ranked[0], self._clock.now())
        if (
            best_unprobed
            and any_answered
            and demand is not placement.Demand.LAST
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
            ctx.tried + ctx.unreachable,
            ctx.useful_until - now,
            ctx.outgoing.deadline - now,
            demand,
            include_remote,
            self._rng,
        )

    def _needs_probe(
        self, target: target_lib.Target, now: clock.Millis
    ) -> bool:
        """Tells whether a target has to say first how busy or cold it is."""
        if target.is_cold(now):
            return target.is_suspected(now)
        return target.reports_load is not False and not target.has_fresh_load(
            now
        )


def _demand(late: bool) -> placement.Demand:
    return placement.Demand.LATE if late else placement.Demand.IN_TIME
