"""Decides under overload which requests are refused at once."""

import random

import loguru

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import admission
from cardamomkeel.gateway import request_context
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.log_lines import limits
from cardamomkeel.policy import account_shares
from cardamomkeel.policy import admission_estimate
from cardamomkeel.policy import rank_balance

OVER_SHARE = "its account asks for more than its share"
HELD_RANK = "more urgent requests need the room"
NOT_IN_TIME = "it can't be answered in time while room is short"
WAIT_TOO_LONG = "too many requests wait"
DISPLACED = "a more urgent request took its place"

# Accounts are held to their shares for this time after a shortage: a rush that
# is refused leaves room free, and would fill it at once.
SHARES_AFTER_MS = 3000.0

logger = loguru.logger


class ServiceLoad:
    """What an entry knows of the room of one service.

    Attributes:
        wait: How long requests wait for a target.
        ranks: How requests of each rank ended.
        accounts: How much work each client account asks for.
        was_short: Whether room was short when it was last looked at.
        short_at: When room was last seen to be short.
    """

    def __init__(self):
        self.wait = admission_estimate.WaitEstimate()
        self.ranks = rank_balance.RankBalance()
        self.accounts = account_shares.AccountShares()
        self.was_short = False
        self.short_at = float("-inf")


class Overload(admission.Check):
    """Refuses requests at the door while their service is short of room."""

    def __init__(
        self,
        targets: targets_lib.Targets,
        metrics: metrics_lib.Metrics,
        clk: clock.Clock,
        rng: random.Random,
    ):
        self._targets = targets
        self._metrics = metrics
        self._clock = clk
        self._rng = rng
        self._services: dict[str, ServiceLoad] = {}
        self._began_limit = limits.Limit("service is short of room", clk)
        self._ended_limit = limits.Limit("service has room again", clk)
        metrics.add_gauge_updater(self._update_gauges)

    def get(self, service: str) -> ServiceLoad:
        """Returns what is known of the room of a service."""
        load = self._services.get(service)
        if load is None:
            load = self._services[service] = ServiceLoad()
        return load

    def is_short(self, service: str) -> bool:
        """Returns whether a service is short of room; logs each change."""
        load = self.get(service)
        now = self._clock.now()
        is_short = load.wait.is_short(now)
        if is_short != load.was_short:
            load.was_short = is_short
            self._log_change(service, load, now)
        return is_short

    def _log_change(
        self, service: str, load: ServiceLoad, now: clock.Millis
    ) -> None:
        limit = self._began_limit if load.was_short else self._ended_limit
        if not limit.may_write():
            return
        fields = {
            "service": service,
            "wait_ms": round(load.wait.head_ms(now), 1),
            "age_ms": round(now - load.wait.updated_at, 1),
            "targets": len(self._targets.get(service)),
        }
        if load.was_short:
            logger.warning("service is short of room", **fields)
        else:
            logger.info("service has room again", **fields)

    async def admit(
        self, ctx: request_context.RequestContext
    ) -> admission.Refusal | None:
        """Returns why a request is refused, or None if it is admitted."""
        load = self.get(ctx.service)
        now = self._clock.now()
        work_ms = self._targets.expect_ms(ctx.service, ctx.route)
        is_short = self.is_short(ctx.service)
        if is_short:
            load.short_at = now
        if ctx.account is not None and not load.accounts.admit(
            ctx.account.name,
            work_ms,
            now - load.short_at < SHARES_AFTER_MS,
            now,
        ):
            return self._refuse(ctx, OVER_SHARE)
        if not is_short:
            return None
        if ctx.useful_until - now < work_ms and not load.wait.has_found_room():
            return self._refuse(ctx, NOT_IN_TIME)
        if self._rng.random() < load.ranks.held_share(ctx.priority, now):
            # Counted here, since admitted requests are counted at their end.
            load.ranks.record(ctx.priority, False, True, now)
            return self._refuse(ctx, HELD_RANK)
        return None

    def note_end(self, ctx: request_context.RequestContext, ran: bool) -> None:
        """Records whether an admitted request was answered in time."""
        now = self._clock.now()
        in_time = ctx.is_answered and now <= ctx.useful_until
        self.get(ctx.service).ranks.record(
            ctx.priority, in_time, self.is_short(ctx.service), now
        )

    def _refuse(
        self, ctx: request_context.RequestContext, reason: str
    ) -> admission.Refusal:
        self.note_refusal(ctx, reason)
        return admission.Refusal(503, reason, ctx.retry_after_ms)

    def note_refusal(
        self, ctx: request_context.RequestContext, reason: str
    ) -> None:
        """Sets the reason of a refusal and the time to return, and counts it.

        Args:
            ctx: The request.
            reason: One of the reasons of this module.
        """
        ctx.reason = reason
        ctx.retry_after_ms = admission_estimate.retry_after_ms(
            ctx.outgoing.deadline - self._clock.now(),
            self._targets.expect_ms(ctx.service, ctx.route),
            self._rng.random(),
        )
        self._metrics.count(
            "overload_refusals",
            "Requests refused since their service was short of room.",
            service=ctx.service,
            reason=reason,
            rank=str(ctx.priority),
        )

    def _update_gauges(self) -> None:
        now = self._clock.now()
        for service, load in self._services.items():
            self._metrics.gauge(
                "expected_wait_seconds",
                "Expected wait for a target, from the last waits.",
                clock.seconds(load.wait.head_ms(now)),
                service=service,
            )
            self._metrics.gauge(
                "service_is_short",
                "Whether the service is short of room, as 0 or 1.",
                float(load.wait.is_short(now)),
                service=service,
            )
