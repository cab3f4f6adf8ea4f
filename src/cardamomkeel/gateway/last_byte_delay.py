"""Keeps the end of a long request back while its target is slowed."""

import asyncio

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import load_probes
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.policy import holding


class LastByteDelay:
    """Waits until a target says that it is not slowed."""

    def __init__(
        self,
        prober: load_probes.LoadProber,
        link_bytes_per_s: float,
        metrics: metrics_lib.Metrics,
        clk: clock.Clock,
    ):
        self._prober = prober
        self._link_bytes_per_s = link_bytes_per_s
        self._metrics = metrics
        self._clock = clk

    def applies_to(self, target: target_lib.Target, size: int) -> bool:
        """Tells whether the end of a request is kept back at first.

        Args:
            target: Where it is sent.
            size: The bytes of its body.
        """
        if not holding.is_long(size, self._link_bytes_per_s):
            return False
        # Questions count toward the rate of a target in cold start.
        return bool(target.reports_load) and not target.is_cold(
            self._clock.now()
        )

    async def wait(self, target: target_lib.Target, size: int) -> None:
        """Waits until a request is there but for its end, and its target fast.

        A question takes a connection of its own and overtakes the request, so
        it is asked no sooner than the request has arrived.
        """
        transit_ms = holding.transit_ms(size, self._link_bytes_per_s)
        await asyncio.sleep(clock.seconds(transit_ms))
        until = self._clock.now() + holding.MOST_MS
        while self._clock.now() < until:
            await self._prober.probe([target])
            now = self._clock.now()
            if (
                target.has_fresh_load(now)
                and target.reported_slowdown(now) < holding.SLOWED
            ):
                return
            await asyncio.sleep(clock.seconds(holding.ASK_AGAIN_MS))
        self._metrics.count(
            "held", "Long requests whose target was slowed for too long."
        )
