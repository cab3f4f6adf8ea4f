"""Log lines about single requests, bounded in number."""

import loguru

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.routes import document as document_lib

# Failed requests are all written up to so many a second; more are counted.
LINES_PER_S = 20.0

logger = loguru.logger


class RequestLog:
    """Writes a line for each failed request, as far as the bound allows."""

    def __init__(self, metrics: metrics_lib.Metrics, clk: clock.Clock):
        self._metrics = metrics
        self._clock = clk
        self._left = LINES_PER_S
        self._at = clk.now()
        self._dropped = 0

    def _may_write(self) -> bool:
        now = self._clock.now()
        gained = clock.seconds(now - self._at) * LINES_PER_S
        self._left = min(LINES_PER_S, self._left + gained)
        self._at = now
        if self._left < 1:
            self._dropped += 1
            return False
        self._left -= 1
        if self._dropped:
            logger.warning("dropped lines", count=self._dropped)
            self._dropped = 0
        return True

    def refused(self, status: int, reason: str) -> None:
        """Tells of a request that no route was found for."""
        self._metrics.count(
            "refusals",
            "Requests refused before a route was found.",
            status=str(status),
        )
        if self._may_write():
            logger.info("refused", status=status, reason=reason)

    def failed(
        self,
        status: int,
        reason: str,
        order: sending.Order,
        route: document_lib.Route,
        service: str,
        tried: list[targets_lib.Target],
    ) -> None:
        """Tells of a request that this entry answered with a failure."""
        if not self._may_write():
            return
        now = self._clock.now()
        logger.info(
            "failed",
            request_id=order.request_id.decode("latin-1"),
            status=status,
            reason=reason,
            service=service,
            route=route.name,
            targets=[target.address for target in tried],
            took_ms=round(now - order.req.arrived, 1),
            left_ms=round(order.until - now, 1),
        )
