"""The program of an entry VM."""

import dataclasses
import functools
import pathlib
import random
import typing

import anyio
import loguru
import typer

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel import recent_events
from cardamomkeel.backend_servers import announcements as announcements_lib
from cardamomkeel.backend_servers import measuring
from cardamomkeel.backend_servers import pool
from cardamomkeel.callers import app as callers_app
from cardamomkeel.callers import http1
from cardamomkeel.control import client as client_lib
from cardamomkeel.daemons import entry_stop
from cardamomkeel.daemons import in_flight as in_flight_lib
from cardamomkeel.daemons import run_entry
from cardamomkeel.daemons import serve
from cardamomkeel.daemons import settings_file
from cardamomkeel.daemons import start
from cardamomkeel.daemons import stop_signals
from cardamomkeel.entries import app as entries_app
from cardamomkeel.entries import forward
from cardamomkeel.operators import app as operators_app
from cardamomkeel.operators import explain
from cardamomkeel.operators import history
from cardamomkeel.operators import secret as secret_lib
from cardamomkeel.routing import claims as claims_lib
from cardamomkeel.routing import decisions as decisions_lib
from cardamomkeel.routing import owner as owner_lib
from cardamomkeel.routing import router as router_lib
from cardamomkeel.routing import service_view
from cardamomkeel.routing import session as session_lib
from cardamomkeel.settings import process

logger = loguru.logger
app = typer.Typer(
    no_args_is_help=True, add_completion=False, help="Runs an entry VM."
)


@app.callback()
def _keep_run_subcommand() -> None:
    """Makes typer require the subcommand `run`."""


@app.command()
def run(
    settings: typing.Annotated[
        pathlib.Path, typer.Option("--settings", help="Settings.")
    ],
) -> None:
    """Runs an entry until SIGTERM or SIGINT."""
    cfg = settings_file.read(settings, process.EntrySettings)
    run_entry.run(_run, cfg)


class Entry:
    """Creates and connects the components of an entry."""

    def __init__(self, cfg: process.EntrySettings, tasks: anyio.abc.TaskGroup):
        self.cfg = cfg
        self.clk = clock.MonotonicClock()
        self.metrics = metrics_lib.Metrics()
        self.in_flight = in_flight_lib.InFlight()
        rng = random.Random()
        self.control = client_lib.ControlClient(
            list(cfg.control.values()), cfg.reach, self.clk
        )
        self.budget = buffers.Budget(cfg.buffer_bytes)
        self.requests_share = self.budget.share(buffers.REQUESTS_SHARE)
        self.streams_share = self.budget.share(buffers.BACKEND_SERVERS_SHARE)
        self.forwarded_share = self.budget.share(buffers.ENTRIES_SHARE)
        self.http = pool.PoolClient(
            cfg.reach, self.clk, share=self.streams_share
        )
        self.entries_http = pool.PoolClient(
            cfg.reach,
            self.clk,
            pool.UNRESPONSIVE_ENTRY_MS,
            self.forwarded_share,
        )
        self.session = session_lib.Session(
            cfg,
            self.control,
            self.clk,
            self._apply_view,
            service_view.ServiceView,
        )
        self.owner = owner_lib.Owner(
            self.session,
            self.http,
            self.control,
            self.clk,
            rng,
            self.metrics,
        )
        self.http.on_all_closed = self.owner.record_connections_closed
        self.http.is_retried = self._is_retried
        self.entries_http.is_retried = self._is_retried
        self.router = router_lib.Router(
            cfg.data_centre,
            self.session,
            self.owner,
            forward.Forwarder(self.entries_http, self.clk),
            claims_lib.Claims(self.session, self.control, self.clk, tasks),
            self.control,
            self.clk,
            rng,
            self.metrics,
            tasks,
        )
        self.announcements = announcements_lib.Announcements(
            self.session,
            self.owner,
            self.control,
            self.clk,
            measuring.MeasuringBudget(self.session, self.clk, self.metrics),
        )

        self.recent_results = decisions_lib.RecentResults(
            self.session, self.clk, self.metrics
        )
        self.explain = explain.ExplainHandlers(
            self.session, self.owner, self.recent_results, self.clk
        )
        self.metrics.add_gauge_updater(self._set_gauges)
        self.stop = entry_stop.EntryStop(
            cfg,
            self.session,
            self.owner,
            self.control,
            self.in_flight,
            self.clk,
        )

    def _is_retried(self, name: str) -> bool:
        """Returns whether failed requests of a service are sent again."""
        service = self.session.view.get_service(name)
        return service is not None and service.retry_share > 0

    def _apply_view(self) -> None:
        self.owner.apply_view()

    def callers_app(self) -> callers_app.CallersApp:
        """Returns the application that serves callers and backend servers."""
        return callers_app.CallersApp(
            self.session,
            self.router,
            self.announcements,
            self.clk,
            self.cfg.keep_addresses_ms,
            self.recent_results,
            self.requests_share,
        )

    def _set_buffer_gauges(self) -> None:
        budget = self.budget
        uses = {
            "requests": self.requests_share,
            "streams": self.streams_share,
            "forwarded_streams": self.forwarded_share,
        }
        for use, share in uses.items():
            self.metrics.gauge(
                "held_bytes", "Bytes of bodies held.", share.held, use=use
            )
        self.metrics.gauge(
            "held_bytes_allowed", "Bytes that may be held.", budget.limit
        )
        self.metrics.gauge(
            "streams_waiting",
            "Streams that wait for bytes to be free.",
            budget.count_waiting(),
        )

    def _set_gauges(self) -> None:
        self._set_buffer_gauges()
        gauge = self.metrics.gauge
        remaining_ms = max(0.0, self.session.lease_until - self.clk.now())
        gauge(
            "lease_left_seconds",
            "How long the lease runs yet.",
            clock.seconds(remaining_ms),
        )
        gauge("revision", "Revision followed.", self.session.view.revision)
        gauge(
            "requests_in_flight",
            "Requests being served.",
            self.in_flight.count,
        )
        owned = list(self.owner.owned.values())
        for service in self.session.view.services:
            of_service = [o for o in owned if o.record.service == service]
            in_use = sum(o.candidate.slots.in_flight for o in of_service)
            limit = sum(o.candidate.slots.limit for o in of_service)
            gauge(
                "owned_targets",
                "Targets owned.",
                len(of_service),
                service=service,
            )
            gauge("slots_in_use", "Slots taken.", in_use, service=service)
            gauge("slots_allowed", "Slots allowed.", limit, service=service)

    def dump(self) -> dict[str, typing.Any]:
        """Returns the state of this process."""
        now = self.clk.now()
        view = self.session.view
        remaining_ms = self.session.lease_until - now
        return {
            "name": self.cfg.name,
            "session": self.session.id,
            "fresh": self.session.is_fresh(),
            "lease_left_ms": int(max(0.0, remaining_ms)),
            "follows": self.session.polled_address,
            "revision": view.revision,
            "version": view.version,
            "services": {
                name: service.model_dump(exclude_unset=True)
                for name, service in view.services.items()
            },
            "targets": len(view.targets),
            "entries": sorted(e.name for e in view.entries.values()),
            "outs": sorted(view.outs),
            "owned": {
                address: {
                    "service": owned.record.service,
                    "limit": owned.candidate.slots.limit,
                    "free": owned.candidate.slots.free(now),
                    "in_flight": owned.candidate.slots.in_flight,
                    "residual": owned.candidate.slots.inherited_slots(now),
                    "latency_ms": round(owned.candidate.health.latency_ms, 3),
                    "failures": round(owned.candidate.health.failures, 3),
                }
                for address, owned in self.owner.owned.items()
            },
        }


async def _run(cfg: process.EntrySettings) -> bool:
    """Runs an entry until a stop signal.

    Returns:
        Whether every request was finished.
    """
    secret = start.unwrap_or_exit(
        secret_lib.read_secret(pathlib.Path(cfg.secret_file))
    )
    signals = stop_signals.StopSignals()
    closed = anyio.Event()
    async with anyio.create_task_group() as tasks:
        # Work that continues after an answer was sent, such as settling a
        # claim, is finished before the process exits.
        async with anyio.create_task_group() as background:
            entry = Entry(cfg, background)
            tasks.start_soon(signals.watch)
            tasks.start_soon(entry.stop.keep_session)
            tasks.start_soon(entry.owner.run)
            tasks.start_soon(entry.announcements.run)
            async with anyio.create_task_group() as servers:
                for server in _list_servers(entry, secret):
                    servers.start_soon(*server, closed)
                logger.info("started", callers=cfg.callers_address)
                await signals.stop_requested.wait()
                was_clean = await _stop(entry, signals)
                closed.set()
                if not was_clean:
                    servers.cancel_scope.cancel()
            if not was_clean:
                background.cancel_scope.cancel()
        await entry.http.close()
        await entry.entries_http.close()
        entry.control.close()
        tasks.cancel_scope.cancel()
    return was_clean


def _list_servers(
    entry: Entry, secret: str
) -> list[tuple[typing.Callable, typing.Callable, str]]:
    """Returns the serve function, application and address of each server."""
    histories = history.HistoryHandlers(entry.cfg.name, recent_events.RECENT)
    operators = operators_app.OperatorsApp(
        secret,
        entry.metrics,
        entry.dump,
        entry.explain.handlers() | histories.handlers(),
    )
    entries = entries_app.EntriesApp(
        entry.owner, entry.session, entry.clk, entry.requests_share
    )
    count = entry.in_flight.wrap
    cfg = entry.cfg
    limits = http1.Limits(cfg.connections, cfg.connections_per_caller)
    serve_callers = functools.partial(http1.serve, limits=limits)
    return [
        (serve_callers, count(entry.callers_app()), cfg.callers_address),
        (http1.serve, count(entries), cfg.entries_address),
        (serve.serve, operators, cfg.operators_address),
    ]


async def _stop(entry: Entry, signals: stop_signals.StopSignals) -> bool:
    """Runs the steps of a planned stop, within the time limit.

    Returns:
        Whether no request was in flight at the end.
    """
    finished = False

    async def run_steps() -> None:
        nonlocal finished
        await entry.stop.run()
        finished = True
        limit.cancel()

    limit_s = clock.seconds(entry.cfg.stop_within_ms)
    with anyio.move_on_after(limit_s) as limit:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(run_steps)
            await signals.immediate_stop_requested.wait()
            tasks.cancel_scope.cancel()
    unfinished_work = entry.stop.unfinished_work()
    if finished:
        logger.info("stopped")
        return True
    logger.warning(
        "stopped before all steps finished",
        **dataclasses.asdict(unfinished_work),
    )
    return unfinished_work.has_no_requests()


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
