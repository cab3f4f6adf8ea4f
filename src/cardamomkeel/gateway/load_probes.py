"""Probes the load of targets right before one of them is selected.

Load changes faster than requests arrive, so the load that a target reported
with its last answer is too old to select by.
"""

import asyncio
import functools

from returns import result

from cardamomkeel import clock
from cardamomkeel import http_headers
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.backend_servers import pool_connection
from cardamomkeel.gateway import names as names_lib
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.gateway import target_signals
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.gateway import upstream as upstream_lib

# How long a selection waits for the answers to its probes.
PROBE_TIMEOUT_MS = 20.0


class LoadProber:
    """Probes the load of targets, over connections that requests reuse."""

    def __init__(
        self,
        upstream: upstream_lib.UpstreamPool,
        targets: targets_lib.Targets,
        signals: target_signals.TargetSignals,
        names: names_lib.HeaderNames,
        metrics: metrics_lib.Metrics,
        clk: clock.Clock,
    ):
        self._upstream = upstream
        self._targets = targets
        self._signals = signals
        self._metrics = metrics
        self._clock = clk
        self._load = names.load.lower().encode()
        self._reported_instance = names.reported_instance.lower().encode()
        self._cold = names.cold.lower().encode()

    async def probe(self, targets: list[target_lib.Target]) -> None:
        """Probes targets concurrently and waits for `PROBE_TIMEOUT_MS` at most.

        Probes that are not answered by then continue in the background.
        """
        probes = [self._start_probe(target) for target in targets]
        if probes:
            await asyncio.wait(probes, timeout=clock.seconds(PROBE_TIMEOUT_MS))

    def _start_probe(self, target: target_lib.Target) -> asyncio.Future:
        if target.pending_probe is None or target.pending_probe.done():
            target.pending_probe = asyncio.ensure_future(self._probe(target))
        return target.pending_probe

    async def _probe(self, target: target_lib.Target) -> None:
        self._metrics.count("probes", "Questions to targets for their load.")
        self._targets.record_send(target)
        conn = self._upstream.try_acquire(target.address, recently_used=False)
        if conn is None:
            opened = await self._upstream.open(
                target.address, upstream_lib.CONNECT_TIMEOUT_MS
            )
            if not isinstance(opened, result.Success):
                target.note_down(self._clock.now())
                return
            conn = opened.unwrap()
            if target.was_down():
                self._targets.suspect_cold_start(target, self._clock.now())
        path = self._targets.health_path(target)
        head = f"GET {path} HTTP/1.1\r\nHost: {target.address}\r\n\r\n"
        conn.expect(b"")
        conn.on_leaving = functools.partial(self._signals.note_leaving, target)
        probed_at = self._clock.now()
        answer = conn.request(head.encode(), b"", False)
        try:
            async with asyncio.timeout(
                clock.seconds(upstream_lib.CONNECT_TIMEOUT_MS)
            ):
                got = await answer
        except TimeoutError:
            conn.close()
            target.note_unresponsive(self._clock.now())
            return
        except pool_connection.ProtocolError:
            target.note_failure(self._clock.now())
            return
        self._upstream.release(conn)
        found = {name.lower(): value for name, value in got.headers}
        reported_instance = found.get(self._reported_instance)
        if (
            reported_instance is not None
            and reported_instance != target.record.instance.encode()
        ):
            # Another process listens at the address now.
            target.note_down(self._clock.now())
            return
        now = self._clock.now()
        self._targets.record_load(target, found.get(self._load))
        cold_ms = http_headers.parse_number(found.get(self._cold, b"0"))
        if reported_instance is not None and cold_ms is not None:
            self._targets.record_cold_start(target, cold_ms, probed_at, now)
