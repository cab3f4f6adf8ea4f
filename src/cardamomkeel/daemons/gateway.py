"""The program of an entry VM that sends to every target itself."""

import pathlib
import typing

import anyio
import typer

from cardamomkeel import recent_events
from cardamomkeel.daemons import run_entry
from cardamomkeel.daemons import serve
from cardamomkeel.daemons import settings_file
from cardamomkeel.daemons import start
from cardamomkeel.gateway import announcements as announcements_lib
from cardamomkeel.gateway import directory as directory_lib
from cardamomkeel.gateway import http_server
from cardamomkeel.gateway import program as program_lib
from cardamomkeel.gateway import settings as settings_lib
from cardamomkeel.operators import app as operators_app
from cardamomkeel.operators import history
from cardamomkeel.operators import secret as secret_lib
from cardamomkeel.policy import body_limits
from cardamomkeel.policy import quota as quota_lib
from cardamomkeel.settings import process

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    help="Runs an entry VM that sends to every target itself.",
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
    """Runs a gateway until SIGTERM or SIGINT."""
    cfg = settings_file.read(settings, process.GatewaySettings)
    run_entry.run(_run, cfg)


def make_settings(
    cfg: process.GatewaySettings,
) -> settings_lib.GatewaySettings:
    """Converts the settings of the process to those of the gateway."""
    return settings_lib.GatewaySettings(
        name=cfg.name,
        data_centre=cfg.data_centre,
        callers_address=cfg.callers_address,
        entries_address=cfg.entries_address,
        operators_address=cfg.operators_address,
        control=dict(cfg.control),
        reach=dict(cfg.reach),
        timings=settings_lib.Timings(
            cfg.timings.poll_timeout_ms, cfg.timings.lease_ms
        ),
        resend_share=cfg.resend_share,
        resend_slack=cfg.resend_slack,
        resend_window_ms=cfg.resend_window_ms,
        quota=quota_lib.Bounds(
            cfg.quota_window_ms, cfg.quota_excess, cfg.quota_slack
        ),
        stop_within_ms=cfg.stop_within_ms,
        listen_on_ms=cfg.listen_on_ms,
        keep_addresses_ms=cfg.keep_addresses_ms,
        longest_hold_ms=cfg.longest_hold_ms,
        link_bytes_per_s=cfg.link_bytes_per_second,
        buffer_bytes=cfg.buffer_bytes,
        leaving=settings_lib.LeavingSettings(
            max_share=cfg.leave_share,
            cost_per_mb=cfg.leave_cost_per_mb,
            bytes_per_s=cfg.leave_bytes_per_second,
        ),
        connections=cfg.connections,
    )


async def _run(cfg: process.GatewaySettings) -> bool:
    """Runs a gateway until a stop signal.

    Returns:
        Whether every request was finished.
    """
    stop = anyio.Event()
    ended = anyio.Event()
    secret = start.unwrap_or_exit(
        secret_lib.read_secret(pathlib.Path(cfg.secret_file))
    )
    program = program_lib.GatewayProgram(make_settings(cfg))
    directory = http_server.HttpServer(
        directory_lib.Directory(
            program.session,
            program.gossip,
            announcements_lib.Announcements(program.session, program.control),
            cfg.keep_addresses_ms,
        ),
        program.clk,
        memory=program.memory,
        body_limits=body_limits.ShortBodies(),
    )
    operators = operators_app.OperatorsApp(
        secret,
        program.metrics,
        program.dump,
        history.HistoryHandlers(cfg.name, recent_events.RECENT).handlers(),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(start.wait_for_stop, stop)
        await program.run(tasks)
        await directory.start(cfg.directory_address)
        tasks.start_soon(serve.serve, operators, cfg.operators_address, ended)
        await stop.wait()
        was_clean = await program.stop()
        await directory.stop_listening()
        ended.set()
        tasks.cancel_scope.cancel()
    return was_clean


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
