"""Many sessions of entries in one process, to load a control group.

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
# More would take more files than a process may open: a relay holds two for
# each connection.
MAX_RELAYED_SESSIONS = 300

app = typer.Typer(no_args_is_help=True, add_completion=False)


def make_processes(
    deployment: deployment_lib.Deployment, count: int
) -> list[deployment_lib.Process]:
    """Returns processes that together hold sessions with a deployment."""
    processes = []
    for number, first in enumerate(range(0, count, SESSIONS_PER_PROCESS)):
        own_count = min(SESSIONS_PER_PROCESS, count - first)
        own = f"{NAME_PREFIX}-{number}"
        reach = (
            _add_relays(deployment, own)
            if count <= MAX_RELAYED_SESSIONS
            else {}
        )
        processes.append(_make_process(deployment, own, own_count, reach))
    return processes


def _add_relays(
    deployment: deployment_lib.Deployment, own: str
) -> dict[str, str]:
    return {
        address: deployment.relays.add(own, name, address)
        for name, address in deployment.control_addresses.items()
    }


def _make_process(
    deployment: deployment_lib.Deployment,
    own: str,
    count: int,
    reach: dict[str, str],
) -> deployment_lib.Process:
    path = deployment.folder / f"{own}.json"
    settings = {
        "name": own,
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
    log = deployment.folder / f"{own}.log"
    return deployment_lib.Process(own, args, log)


@app.command()
def run(
    settings: typing.Annotated[pathlib.Path, typer.Option()],
    count: typing.Annotated[int, typer.Option()],
) -> None:
    """Keeps sessions until the process is ended."""
    cfg = settings_file.read(settings, process.EntrySettings)
    anyio.run(_run, cfg, count, backend_options={"use_uvloop": True})


async def _run(cfg: process.EntrySettings, count: int) -> None:
    clk = clock.MonotonicClock()
    client = client_lib.ControlClient(
        list(cfg.control.values()), cfg.reach, clk
    )
    async with anyio.create_task_group() as tasks:
        for number in range(count):
            own = cfg.model_copy(update={"name": f"{cfg.name}-{number}"})
            session = session_lib.Session(
                own, client, clk, _ignore, service_view.ServiceView
            )
            tasks.start_soon(session.run)


def _ignore() -> None:
    """Does nothing with changed rows."""


if __name__ == "__main__":
    app()
