"""Builds a gateway from its parts, starts it and stops it."""

import asyncio
import functools
import random
import typing

import anyio
import loguru

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.control import client as client_lib
from cardamomkeel.gateway import data_centre_choice
from cardamomkeel.gateway import data_centre_reports
from cardamomkeel.gateway import gateway as gateway_lib
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.gateway import hang_watch
from cardamomkeel.gateway import held_memory
from cardamomkeel.gateway import http_server
from cardamomkeel.gateway import key_check
from cardamomkeel.gateway import last_byte_delay
from cardamomkeel.gateway import load_probes
from cardamomkeel.gateway import quota_check
from cardamomkeel.gateway import room_counts
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import settings as settings_lib
from cardamomkeel.gateway import target_signals
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.gateway import upstream as upstream_lib
from cardamomkeel.policy import memory_pressure
from cardamomkeel.rollouts import entry as rollouts_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

# How often expired connections to targets are closed; they expire in seconds.
EXPIRE_INTERVAL_MS = 1000.0
# How long to wait for the control group when this entry leaves.
LEAVE_TIMEOUT_MS = 1500.0
# How long to wait for the control group when this entry reports a crash.
REPORT_TIMEOUT_MS = 3000.0

logger = loguru.logger


class GatewayProgram:
    """Assembles and runs an entry that sends to every target directly.

    Attributes:
        session: The session with the control group.
        gossip: Exchanges counts of running requests within the data centre.
        reports: Exchanges demand and room with other data centres.
        targets: The state of each target.
        choice: Decides which requests leave their data centre.
        rollouts: The roll-outs that this entry follows.
        signals: What targets say of themselves.
        prober: Asks targets for their load.
        memory: The bytes of heads, bodies and answers that are held.
        quotas: Counts the requests of accounts.
        server: The HTTP server for callers.
        stopping: Whether a planned stop has begun.
    """

    def __init__(self, cfg: settings_lib.GatewaySettings):
        self.cfg = cfg
        self.clk = clock.MonotonicClock()
        self.metrics = metrics_lib.Metrics()
        self.control = client_lib.ControlClient(
            list(cfg.control.values()), cfg.reach, self.clk
        )
        self.session = session_lib.Session(
            cfg, self.control, self.clk, self._apply_changes, keeps_view=True
        )
        self.gossip = gossip_lib.Gossip(
            cfg.name, self.clk, self._on_loads_changed
        )
        self.targets = targets_lib.Targets(
            cfg.data_centre, cfg.name, self.gossip, self.clk
        )
        self.reports = data_centre_reports.DataCentreReports(
            cfg.name, cfg.data_centre, self.gossip.send_report, self.clk
        )
        self.choice = data_centre_choice.DataCentreChoice(
            cfg.leaving,
            cfg.data_centre,
            self.reports,
            room_counts.RoomCounts(self.targets, self.clk),
            self.metrics,
            self.clk,
            random.Random(),
        )
        self.rollouts = rollouts_lib.EntryRollouts(
            self.targets,
            self.session.is_in_touch,
            self.metrics,
            self.clk,
            random.Random(),
        )
        if cfg.leaving.max_share > 0:
            self.gossip.handlers[data_centre_reports.REPORT_BYTE] = (
                self.reports.receive
            )
            self.targets.choice = self.choice
        self.memory = held_memory.HeldMemory(cfg.buffer_bytes, self.clk)
        self.rollouts.on_stop = self._on_rollout_stopped
        self.targets.rollouts = self.rollouts
        self.gossip.rollouts = self.rollouts
        self.session.add_reports = self.rollouts.add_reports
        self.upstream = upstream_lib.UpstreamPool(
            self.clk,
            cfg.headers.request_id.lower().encode(),
            cfg.headers.leaving.lower().encode(),
            cfg.body_bytes,
            self.memory.budget.share(
                buffers.ENTRIES_SHARE, memory_pressure.LONG_BODIES_SHARE
            ),
        )
        self.signals = target_signals.TargetSignals(
            self.targets,
            cfg.headers,
            cfg.longest_hold_ms,
            self.metrics,
            self.clk,
        )
        self.prober = load_probes.LoadProber(
            self.upstream,
            self.targets,
            self.signals,
            cfg.headers,
            self.metrics,
            self.clk,
        )
        delay = last_byte_delay.LastByteDelay(
            self.prober, cfg.link_bytes_per_s, self.metrics, self.clk
        )
        sender = sending.Sender(
            self.upstream,
            self.targets,
            self.signals,
            delay,
            hang_watch.HangWatch(self.prober, self.metrics, self.clk),
            cfg.headers,
            self.clk,
            self.rollouts,
        )
        self.quotas = quota_check.QuotaCheck(
            cfg.name,
            cfg.quota,
            self.session,
            self.gossip,
            self.clk,
            random.Random(),
        )
        self.gateway = gateway_lib.Gateway(
            cfg,
            self.session,
            self.targets,
            sender,
            self.prober,
            self._report,
            self.metrics,
            self.clk,
            random.Random(),
            [
                key_check.KeyCheck(self.session, cfg.headers.account),
                self.quotas,
            ],
            rollouts=self.rollouts,
        )
        self.server = http_server.HttpServer(
            self.gateway,
            self.clk,
            lambda: self.session.view.table.limits,
            self.memory,
            cfg.connections,
        )
        self.metrics.add_gauge_updater(
            functools.partial(self.memory.set_gauges, self.metrics)
        )
        self.stopping = False

    def is_ready(self) -> bool:
        """Returns whether this entry has routes and is not stopping."""
        return not self.stopping and bool(self.session.view.table.number)

    def _on_loads_changed(self) -> None:
        self.gateway.wake()

    def _on_rollout_stopped(self) -> None:
        self.gossip.schedule_send()
        self.session.trigger_poll()
        self.gateway.wake()

    def _apply_changes(self) -> None:
        view = self.session.view
        changes = view.pop_changes()
        self.targets.apply_changes(view, changes)
        if view.rollouts:
            self.rollouts.apply(view.rollouts)
        if changes.all_rows or changes.entries:
            self._update_gossip_peers(view)
            self.reports.set_entries(
                {
                    entry.name: (entry.data_centre, entry.entries_address)
                    for entry in view.entries.values()
                    if not entry.leaving
                }
            )
        self.quotas.update_members(view)
        self.gateway.wake()

    def _update_gossip_peers(self, view: view_lib.View) -> None:
        self.gossip.set_peers(
            {
                entry.name: entry.entries_address
                for entry in view.entries.values()
                if entry.data_centre == self.cfg.data_centre
                and entry.name != self.cfg.name
            }
        )

    async def _report(self, command: control_pb2.Command) -> None:
        await self.control.propose([command], timeout_ms=REPORT_TIMEOUT_MS)

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts serving.

        Args:
            tasks: Where the background tasks run until they are cancelled.
        """
        await self.gossip.start(self.cfg.entries_address, self.targets)
        await self.server.start(self.cfg.callers_address)
        tasks.start_soon(self.session.run)
        tasks.start_soon(self.gossip.run)
        if self.targets.choice is not None:
            tasks.start_soon(self.choice.run)
        tasks.start_soon(self._expire_connections)
        logger.info("started", callers=self.cfg.callers_address)

    async def _expire_connections(self) -> None:
        while True:
            await asyncio.sleep(clock.seconds(EXPIRE_INTERVAL_MS))
            self.upstream.expire()

    async def stop(self) -> bool:
        """Stops after the requests in flight.

        Returns:
            False if requests had no answer when the time for the stop was over.
        """
        began = self.clk.now()
        until = began + self.cfg.stop_within_ms
        self.stopping = True
        self.server.begin_stop()
        with anyio.move_on_after(clock.seconds(LEAVE_TIMEOUT_MS)):
            await self._leave(finished=False)
        listen_until = began + self.cfg.listen_on_ms
        remaining_ms = max(0.0, listen_until - self.clk.now())
        await asyncio.sleep(clock.seconds(remaining_ms))
        await self.server.stop_listening()
        completed = await self.server.finish(until)
        unanswered = self.server.in_flight
        if not completed:
            self.gateway.is_ending = True
            await self.server.end_unanswered()
        self.server.close()
        with anyio.move_on_after(clock.seconds(max(0, until - self.clk.now()))):
            await self._leave(finished=True)
        self.upstream.close()
        self.gossip.close()
        self.control.close()
        if completed:
            logger.info("stopped")
        else:
            logger.warning("stopped with requests in flight", count=unanswered)
        return completed

    async def _leave(self, finished: bool) -> None:
        if not self.session.id:
            return
        command = control_pb2.Command(
            entry_leave=control_pb2.EntryLeave(
                session=self.session.id, finished=finished
            )
        )
        await self.control.propose([command], timeout_ms=LEAVE_TIMEOUT_MS)

    def dump(self) -> dict[str, typing.Any]:
        """Returns the state of this process for operators."""
        view = self.session.view
        return {
            "name": self.cfg.name,
            "session": self.session.id,
            "follows": self.session.polled_address,
            "fresh": self.session.is_fresh(),
            "routes": view.table.number,
            "version": view.version,
            "stopping": self.stopping,
            "entries": sorted(e.name for e in view.entries.values()),
            "outs": sorted(view.outs),
            "crashes": {
                fingerprint.hex(): count
                for fingerprint, count in view.crashes.items()
            },
            "in_flight": self.server.in_flight,
            "connections": len(self.server.connections),
            "leaving": self.choice.dump(),
            "memory": self.memory.dump(),
            "rollouts": self.rollouts.dump(),
            "targets": self.targets.dump(),
            "refused_accounts": self.quotas.dump_refused(),
        }
