"""The program of an entry VM."""

import pathlib
import random
import typing

import anyio
import loguru
import typer

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.backend_servers import announcements as announcements_lib
from cardamomkeel.backend_servers import pool
from cardamomkeel.callers import app as callers_app
from cardamomkeel.callers import http1
from cardamomkeel.control import client as client_lib
from cardamomkeel.daemons import serve
from cardamomkeel.daemons import start
from cardamomkeel.entries import app as entries_app
from cardamomkeel.entries import forward
from cardamomkeel.operators import app as operators_app
from cardamomkeel.operators import secret as secret_lib
from cardamomkeel.routing import claims as claims_lib
from cardamomkeel.routing import owner as owner_lib
from cardamomkeel.routing import router as router_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.settings import process

logger = loguru.logger
app = typer.Typer(
    no_args_is_help=True, add_completion=False, help="Runs an entry VM."
)


@app.callback()
def _callback() -> None:
    """Keeps `run` a command of its own."""


@app.command()
def run(
    settings: typing.Annotated[
        pathlib.Path, typer.Option("--settings", help="Settings.")
    ],
) -> None:
    """Runs until it gets SIGTERM."""
    cfg = start.read_settings(settings, process.EntrySettings)
    anyio.run(_run, cfg, backend_options={"use_uvloop": True})


class Entry:
    """The parts of an entry, put together."""

    def __init__(self, cfg: process.EntrySettings, tasks: anyio.abc.TaskGroup):
        self.cfg = cfg
        self.clk = clock.MonotonicClock()
        self.metrics = metrics_lib.Metrics()
        rng = random.Random()
        self.control = client_lib.ControlClient(
            list(cfg.control.values()), cfg.reach, self.clk
        )
        self.http = pool.PoolClient(cfg.reach, self.clk)
        self.entries_http = pool.PoolClient(
            cfg.reach, self.clk, pool.SILENT_ENTRY_MS
        )
        self.session = session_lib.Session(
            cfg, self.control, self.clk, self._follow
        )
        self.owner = owner_lib.Owner(
            self.session,
            self.http,
            self.control,
            self.clk,
            rng,
            self.metrics,
        )
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
            self.session, self.owner, self.control, self.clk
        )

    def _follow(self) -> None:
        self.owner.follow()

    def callers_app(self) -> callers_app.CallersApp:
        """Returns the application towards callers."""
        return callers_app.CallersApp(
            self.session,
            self.router,
            self.announcements,
            self.clk,
            self.cfg.keep_addresses_ms,
        )

    def dump(self) -> dict[str, typing.Any]:
        """Returns the state of this process."""
        now = self.clk.now()
        view = self.session.view
        left_ms = self.session.lease_until - now
        return {
            "name": self.cfg.name,
            "session": self.session.id,
            "fresh": self.session.is_fresh(),
            "lease_left_ms": int(max(0.0, left_ms)),
            "revision": view.revision,
            "version": view.version,
            "targets": len(view.targets),
            "entries": sorted(e.name for e in view.entries.values()),
            "outs": sorted(view.outs),
            "owned": {
                address: {
                    "service": owned.record.service,
                    "limit": owned.candidate.slots.limit,
                    "in_flight": owned.candidate.slots.in_flight,
                    "residual": owned.candidate.slots.residual(now),
                    "latency_ms": round(owned.candidate.health.latency_ms, 3),
                    "failures": round(owned.candidate.health.failures, 3),
                }
                for address, owned in self.owner.owned.items()
            },
        }


async def _run(cfg: process.EntrySettings) -> None:
    secret = start.unwrap(secret_lib.read_secret(pathlib.Path(cfg.secret_file)))
    stop = anyio.Event()
    async with anyio.create_task_group() as tasks:
        entry = Entry(cfg, tasks)
        operators = operators_app.OperatorsApp(
            secret, entry.metrics, entry.dump, {}
        )
        tasks.start_soon(start.wait_for_stop, stop)
        tasks.start_soon(entry.session.run)
        tasks.start_soon(entry.owner.run)
        tasks.start_soon(entry.announcements.run)
        callers = entry.callers_app()
        entries = entries_app.EntriesApp(entry.owner, entry.session, entry.clk)
        tasks.start_soon(http1.serve, callers, cfg.callers_address, stop)
        tasks.start_soon(http1.serve, entries, cfg.entries_address, stop)
        tasks.start_soon(serve.serve, operators, cfg.operators_address, stop)
        logger.info("runs", callers=cfg.callers_address)
        await stop.wait()
        await entry.http.close()
        await entry.entries_http.close()
        entry.control.close()
        tasks.cancel_scope.cancel()


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
