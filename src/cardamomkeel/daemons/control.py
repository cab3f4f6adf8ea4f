"""The program of a control VM."""

import pathlib
import random
import typing

import anyio
import loguru
import typer

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel import listening
from cardamomkeel import recent_events
from cardamomkeel.control import channels
from cardamomkeel.control import client as client_lib
from cardamomkeel.control import formation
from cardamomkeel.control import grpc_server
from cardamomkeel.control import instance_registry as registry_lib
from cardamomkeel.control import joining as joining_lib
from cardamomkeel.control import node as node_lib
from cardamomkeel.control import node_status
from cardamomkeel.control import row_streams as row_streams_lib
from cardamomkeel.control import service
from cardamomkeel.daemons import serve
from cardamomkeel.daemons import settings_file
from cardamomkeel.daemons import start
from cardamomkeel.operators import app as operators_app
from cardamomkeel.operators import configuration_calls
from cardamomkeel.operators import history
from cardamomkeel.operators import member_calls
from cardamomkeel.operators import resolutions
from cardamomkeel.operators import rollout_calls
from cardamomkeel.operators import routes_calls
from cardamomkeel.operators import secret as secret_lib
from cardamomkeel.operators import settings_calls
from cardamomkeel.policy import log_compaction
from cardamomkeel.replication import disk
from cardamomkeel.replication import election_timer
from cardamomkeel.replication import members
from cardamomkeel.replication import storage
from cardamomkeel.settings import addresses
from cardamomkeel.settings import process
from cardamomkeel.wire import control_pb2

logger = loguru.logger
app = typer.Typer(
    no_args_is_help=True, add_completion=False, help="Runs a control VM."
)
SettingsOption = typing.Annotated[
    pathlib.Path, typer.Option("--settings", help="Settings of this process.")
]


@app.command()
def init(settings: SettingsOption) -> None:
    """Creates the data folder of one of the initial control VMs."""
    cfg = settings_file.read(settings, process.ControlSettings)
    folder = pathlib.Path(cfg.data_folder)
    if not disk.is_empty(folder):
        print(f"{folder} is in use; nothing is changed")
        return
    first = members.initial_members(cfg.control)
    own_id = members.member_id(cfg.name, members.INITIAL_INCARNATION)
    disk.create(folder, own_id, first, formed=len(cfg.control) == 1)
    print(f"made {folder}")


@app.command()
def run(settings: SettingsOption) -> None:
    """Runs a control VM until SIGTERM or SIGINT."""
    cfg = settings_file.read(settings, process.ControlSettings)
    start.run_to_end(lambda: anyio.run(_run, cfg))


async def _run(cfg: process.ControlSettings) -> None:
    clk = clock.MonotonicClock()
    secret = start.unwrap_or_exit(
        secret_lib.read_secret(pathlib.Path(cfg.secret_file))
    )
    folder = pathlib.Path(cfg.data_folder)
    if disk.is_empty(folder):
        formation.create_joining(folder, cfg.name)
    node = await _make_node(cfg, folder, clk)
    try:
        await _serve(cfg, node, clk, secret)
    except BaseExceptionGroup as group:
        # Cancelled servers may add unrelated errors to the group.
        failed = group.subgroup(storage.StorageFailedError)
        if failed is None:
            raise
        error = _first_error(failed)
    else:
        return
    start.exit_with_error(error)


async def _make_node(
    cfg: process.ControlSettings, folder: pathlib.Path, clk: clock.Clock
) -> node_lib.ControlNode:
    """Loads the data folder, after forming the group if it has not formed."""
    stored = start.unwrap_or_exit(disk.load(folder))
    if not stored.hard_state.formed:
        forming = formation.Formation(
            folder, cfg.name, cfg.control, cfg.reach, stored.hard_state, clk
        )
        await forming.run()
        stored = start.unwrap_or_exit(disk.load(folder))
    return node_lib.ControlNode(
        stored,
        disk.DiskStorage(folder, stored),
        election_timer.Timings(
            cfg.timings.heartbeat_ms,
            cfg.timings.election_least_ms,
            cfg.timings.election_most_ms,
        ),
        cfg.timings.lease_ms,
        cfg.reach,
        clk,
        random.Random(),
        log_limits=log_compaction.derive_limits(
            cfg.memory_bytes, cfg.disk_bytes
        ),
    )


def _first_error(group: BaseExceptionGroup) -> errors.Error:
    """Returns the error of the first storage failure of an exception group."""
    first = group.exceptions[0]
    if isinstance(first, storage.StorageFailedError):
        return first.error
    return _first_error(first)


async def _serve(
    cfg: process.ControlSettings,
    node: node_lib.ControlNode,
    clk: clock.Clock,
    secret: str,
) -> None:
    stop = anyio.Event()
    control = client_lib.ControlClient(
        list(cfg.control.values()), cfg.reach, clk
    )
    row_streams = row_streams_lib.RowStreams(cfg, node, clk)
    registry = registry_lib.InstanceRegistry(node, clk)
    server = grpc_server.make_server(
        [
            service.ReplicationService(node, clk),
            service.ControlService(
                node, row_streams.stream_server, clk, registry
            ),
        ],
        clk,
    )
    own_member = control_pb2.Member(
        id=node.replica.id, name=cfg.name, address=cfg.address
    )
    joining = joining_lib.Joining(
        node,
        own_member,
        lambda: list(cfg.control.values()),
        channels.Channels(cfg.reach, clk),
        clk,
    )
    host, port = addresses.split(cfg.address)
    with listening.report_bind_errors(cfg.address):
        await server.start(host, port)
    operators = operators_app.OperatorsApp(
        secret,
        node_status.make_metrics(node),
        lambda: (
            node_status.dump(cfg.name, node)
            | {"streams": len(row_streams.stream_server)}
        ),
        configuration_calls.ConfigurationHandlers(control, clk).handlers()
        | settings_calls.SettingsHandlers(control).handlers()
        | routes_calls.RoutesHandlers(control).handlers()
        | rollout_calls.RolloutHandlers(control).handlers()
        | resolutions.ResolutionHandlers(control).handlers()
        | member_calls.MemberHandlers(control).handlers()
        | history.HistoryHandlers(
            cfg.name, recent_events.RECENT, node.history
        ).handlers(),
    )
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(start.wait_for_stop, stop)
        tasks.start_soon(node.run)
        tasks.start_soon(row_streams.run)
        tasks.start_soon(registry.run)
        tasks.start_soon(joining.run)
        tasks.start_soon(serve.serve, operators, cfg.operators_address, stop)
        logger.info("started", member=node.replica.id)
        await stop.wait()
        await node.hand_over()
        server.close()
        control.close()
        node.close()
        tasks.cancel_scope.cancel()


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
