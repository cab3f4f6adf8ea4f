"""Logs failed and rejected requests, at a limited rate."""

import loguru

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import admission
from cardamomkeel.gateway import request_context
from cardamomkeel.log_lines import limits

logger = loguru.logger


class RequestLog:
    """Logs requests that this entry did not answer, within rate limits."""

    def __init__(self, metrics: metrics_lib.Metrics, clk: clock.Clock):
        self._metrics = metrics
        self._clock = clk
        self._failed_limit = limits.Limit("answered request with error", clk)
        self._refused_limit = limits.Limit("refused admission of request", clk)
        self._rejected_limit = limits.Limit(
            "rejected request before routing", clk
        )

    def log_rejected(self, status: int, reason: str) -> None:
        """Logs a request that was rejected before a route was found."""
        self._metrics.count(
            "refusals",
            "Requests refused before a route was found.",
            status=str(status),
        )
        if self._rejected_limit.may_write():
            logger.info(
                "rejected request before routing", status=status, reason=reason
            )

    def log_refused(
        self, refusal: admission.Refusal, ctx: request_context.RequestContext
    ) -> None:
        """Logs a request that an admission check has refused."""
        self._metrics.count(
            "admission_refusals",
            "Requests refused before a target was selected.",
            status=str(refusal.status),
            reason=refusal.reason,
        )
        if not self._refused_limit.may_write():
            return
        logger.info(
            "refused admission of request",
            request_id=ctx.outgoing.request_id.decode("latin-1"),
            account=ctx.account.name if ctx.account is not None else "",
            status=refusal.status,
            reason=refusal.reason,
            route=ctx.route.name,
            retry_after_ms=round(refusal.retry_after_ms, 1),
        )

    def log_failed(
        self, status: int, reason: str, ctx: request_context.RequestContext
    ) -> None:
        """Logs a request that got an error of this entry after routing."""
        if not self._failed_limit.may_write():
            return
        outgoing = ctx.outgoing
        now = self._clock.now()
        logger.info(
            "answered request with error",
            request_id=outgoing.request_id.decode("latin-1"),
            status=status,
            reason=reason,
            service=ctx.service,
            route=ctx.route.name,
            targets=[target.address for target in ctx.tried],
            took_ms=round(now - outgoing.req.arrived, 1),
            left_ms=round(outgoing.deadline - now, 1),
            spent_ms=round(ctx.spent_ms, 1),
        )
