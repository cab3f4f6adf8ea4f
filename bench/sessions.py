"""Holds many entry sessions in one process, to load a control group.

python -m bench.sessions --settings FILE --count 550
"""

import json
import pathlib
import typing

import anyio
import typer

from bench import deployment as deployment_lib
from cardamomkeel import clock
from cardamomkeel.control import client as client_lib
from cardamomkeel.daemons import settings_file
from cardamomkeel.routing import service_view
from cardamomkeel.routing import session as session_lib
from cardamomkeel.settings import process

NAME_PREFIX = "sessions"
SESSIONS_PER_PROCESS = 200
# A relay holds two file descriptors for each connection; more sessions would
# exceed the number of files that a process may open.
MAX_RELAYED_SESSIONS = 300

app = typer.Typer(no_args_is_help=True, add_completion=False)


def make_processes(
    deployment: deployment_lib.Deployment, count: int
) -> list[deployment_lib.Process]:
    """Returns processes that together hold `count` sessions."""
    processes = []
    for number, first in enumerate(range(0, count, SESSIONS_PER_PROCESS)):
        session_count = min(SESSIONS_PER_PROCESS, count - first)
        process_name = f"{NAME_PREFIX}-{number}"
        reach = (
            _add_relays(deployment, process_name)
            if count <= MAX_RELAYED_SESSIONS
            else {}
        )
        processes.append(
            _make_process(deployment, process_name, session_count, reach)
        )
    return processes


def _add_relays(
    deployment: deployment_lib.Deployment, process_name: str
) -> dict[str, str]:
    return {
        address: deployment.relays.add(process_name, name, address)
        for name, address in deployment.control_addresses.items()
    }


def _make_process(
    deployment: deployment_lib.Deployment,
    process_name: str,
    count: int,
    reach: dict[str, str],
) -> deployment_lib.Process:
    path = deployment.folder / f"{process_name}.json"
    settings = {
        "name": process_name,
        "data_centre": deployment.shape.data_centres[0],
        "callers_address": "127.0.0.1:1",
        "entries_address": "127.0.0.1:1",
        "operators_address": "127.0.0.1:1",
        "secret_file": str(deployment.secret_file),
        "control": deployment.control_addresses,
        "reach": reach,
    }
    path.write_text(json.dumps(settings))
    args = ["bench.sessions", "--settings", str(path), "--count", str(count)]
    log = deployment.folder / f"{process_name}.log"
    return deployment_lib.Process(process_name, args, log)


@app.command()
def run(
    settings: typing.Annotated[pathlib.Path, typer.Option()],
    count: typing.Annotated[int, typer.Option()],
) -> None:
    """Holds sessions until the process is stopped."""
    cfg = settings_file.read(settings, process.EntrySettings)
    anyio.run(_run, cfg, count, backend_options={"use_uvloop": True})


async def _run(cfg: process.EntrySettings, count: int) -> None:
    clk = clock.MonotonicClock()
    client = client_lib.ControlClient(
        list(cfg.control.values()), cfg.reach, clk
    )
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            session_cfg = cfg.model_copy(
                update={"name": f"{cfg.name}-{number}"}
            )
            session = session_lib.Session(
                session_cfg, client, clk, _ignore, service_view.ServiceView
            )
            tasks.start_soon(session.run)


def _ignore() -> None:
    """Ignores changed rows."""


if __name__ == "__main__":
    app()
