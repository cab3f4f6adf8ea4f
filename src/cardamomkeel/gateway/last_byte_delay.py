"""Holds back the last byte of a long request while its target is slow."""

import asyncio

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import load_probes
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.policy import body_hold


class LastByteDelay:
    """Decides whether, and for how long, the last byte is held back."""

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
        """Returns whether the last byte of a request is held back.

        Args:
            target: The target of the request.
            size: Length of the body in bytes.
        """
        if not body_hold.is_slow_transfer(size, self._link_bytes_per_s):
            return False
        # Probes count towards the rate limit of a target in cold start.
        return bool(target.reports_load) and not target.is_cold(
            self._clock.now()
        )

    async def wait(self, target: target_lib.Target, size: int) -> None:
        """Waits until the target has the rest of the request and is fast.

        A probe uses another connection and would overtake the request, so the
        first probe is sent once the request should have arrived.

        Args:
            target: The target of the request.
            size: Length of the body in bytes.
        """
        transit_ms = body_hold.transit_ms(size, self._link_bytes_per_s)
        await asyncio.sleep(clock.seconds(transit_ms))
        until = self._clock.now() + body_hold.MAX_HOLD_MS
        while self._clock.now() < until:
            await self._prober.probe([target])
            now = self._clock.now()
            if (
                target.has_fresh_load(now)
                and target.reported_slowdown(now) < body_hold.SLOW_FACTOR
            ):
                return
            await asyncio.sleep(clock.seconds(body_hold.PROBE_INTERVAL_MS))
        self._metrics.count(
            "held", "Long requests whose target was slowed for too long."
        )
