"""The control program, which runs on the VMs with a disk."""

import functools
import pathlib
import random

import anyio
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel import listening
from cardamomkeel.control import channels as channels_lib
from cardamomkeel.control import formation
from cardamomkeel.control import group_calls
from cardamomkeel.control import grpc_server
from cardamomkeel.control import instance_registry as registry_lib
from cardamomkeel.control import joining as joining_lib
from cardamomkeel.control import node as node_lib
from cardamomkeel.control import node_status
from cardamomkeel.control import row_streams as row_streams_lib
from cardamomkeel.control import service
from cardamomkeel.daemons import start
from cardamomkeel.gateway import held_memory
from cardamomkeel.gateway import http_server
from cardamomkeel.gateway import messages
from cardamomkeel.gateway import operator_endpoints
from cardamomkeel.platform import control_api
from cardamomkeel.platform import process
from cardamomkeel.platform import process_memory
from cardamomkeel.platform import timings
from cardamomkeel.policy import process_limits
from cardamomkeel.policy import rollout_steps
from cardamomkeel.replication import disk
from cardamomkeel.replication import election_timer
from cardamomkeel.replication import members
from cardamomkeel.replication import storage
from cardamomkeel.settings import addresses as addresses_lib
from cardamomkeel.settings import process as process_settings
from cardamomkeel.wire import control_pb2

# Fields of the settings file that the program can't run without.
REQUIRED_FIELDS = ("self.data-dir", "network.listen.control")
# The group adds joining VMs by itself up to this size.
MAX_MEMBERS = 7
# Delay after a disk failure before the disk is used again.
DISK_RETRY_DELAY_MS = 500.0
# How long calls that have arrived may take after the leadership was handed
# over; longer than the search for the new leader.
FINISH_CALLS_MS = 1500.0

logger = loguru.logger


class _UnavailableHandler:
    """Handles all requests while the disk can't be used."""

    async def handle(self, req):
        return control_api.make_unavailable_response()


class Core:
    """The program of one control VM on the platform."""

    def __init__(self, file: process.WatchedNodeFile):
        current = file.current
        self._file = file
        self._clock = clock.MonotonicClock()
        self._ip = current.own.ip
        self._address = current.internal_address(
            self._ip, process.OFFSET_OF_CONTROL_PORT
        )
        self._folder = pathlib.Path(current.own.data_dir)
        self._timings = process_settings.Timings(
            heartbeat_ms=timings.HEARTBEAT_MS,
            election_least_ms=timings.MIN_ELECTION_TIMEOUT_MS,
            election_most_ms=timings.MAX_ELECTION_TIMEOUT_MS,
            lease_ms=timings.LEASE_MS,
            poll_wait_ms=timings.poll_wait_ms(current.timeouts.bounds),
            poll_timeout_ms=timings.POLL_TIMEOUT_MS,
        )
        self._memory = held_memory.HeldMemory(
            process_memory.get_control_buffer_bytes(current.own.limits),
            self._clock,
        )
        self._server = http_server.HttpServer(
            _UnavailableHandler(),
            self._clock,
            memory=self._memory,
            max_connections=process_memory.get_connections(
                current.own.limits, process_limits.CALLERS_SHARE
            ),
            body_copies=process_memory.BODY_COPIES,
            body_limits=control_api.BodyLimits(
                process_memory.get_configuration_bytes(current.own.limits)
            ),
        )
        self._status_servers: list[http_server.HttpServer] = []
        self._stop = anyio.Event()

    async def run(self) -> None:
        """Runs until a signal to stop; recovers from disk failures."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(
                process.watch_signals, self._stop, self._file.reload
            )
            tasks.start_soon(self._file.watch, lambda: None)
            await self._server.start(self._file.current.network.listen.control)
            self._status_servers = await process.serve_status(
                self._file, _UnavailableHandler(), self._clock, self._memory
            )
            tasks.start_soon(self._run_until_stopped, tasks)
            await self._stop.wait()

    async def _run_until_stopped(self, tasks: anyio.abc.TaskGroup) -> None:
        while not self._stop.is_set():
            try:
                await self._run_member()
            except* (storage.StorageFailedError, OSError) as group:
                logger.error("disk failed", reason=str(group.exceptions))
            self._set_handlers(_UnavailableHandler(), _UnavailableHandler())
            if not self._stop.is_set():
                await anyio.sleep(clock.seconds(DISK_RETRY_DELAY_MS))
        for server in (self._server, *self._status_servers):
            await server.stop_listening()
        tasks.cancel_scope.cancel()

    def _set_handlers(
        self, api: messages.Handler, operators: messages.Handler
    ) -> None:
        """Replaces the handlers of the API and of operators' requests."""
        self._server.handler = api
        for server in self._status_servers:
            server.handler = operators

    async def _run_member(self) -> None:
        """Runs as a group member until a signal to stop or a disk failure."""
        cfg = self._make_settings()
        await self._prepare_data_folder(cfg)
        await self._serve(cfg, self._load_node(cfg))

    def _load_node(
        self, cfg: process_settings.ControlSettings
    ) -> node_lib.ControlNode:
        """Loads the data folder; exits with an error if it is damaged."""
        loaded = disk.load(self._folder)
        if not isinstance(loaded, result.Success):
            logger.error("data folder is damaged", reason=str(loaded))
            start.exit_with_error(loaded.failure())
        stored = loaded.unwrap()
        node = node_lib.ControlNode(
            stored,
            disk.DiskStorage(self._folder, stored),
            election_timer.Timings(
                cfg.timings.heartbeat_ms,
                cfg.timings.election_least_ms,
                cfg.timings.election_most_ms,
            ),
            cfg.timings.lease_ms,
            {},
            self._clock,
            random.Random(),
            MAX_MEMBERS,
            process_memory.get_log_limits(self._file.current.own.limits),
        )
        bounds = self._file.current.timeouts.bounds
        node.rollouts.limits = rollout_steps.Limits(
            bounds.exposure_share, bounds.exposure_slack
        )
        return node

    def _make_settings(self) -> process_settings.ControlSettings:
        return process_settings.ControlSettings(
            name=self._ip,
            data_centre=self._file.current.own.zone,
            data_folder=str(self._folder),
            address=self._address,
            operators_address=self._file.operators_address(),
            secret_file="",
            control={
                address.rpartition(":")[0]: address
                for address in self._file.control_addresses()
            },
            timings=self._timings,
        )

    async def _prepare_data_folder(
        self, cfg: process_settings.ControlSettings
    ) -> None:
        """Creates the data folder if it is empty, and completes forming.

        With an empty folder, a seed of a deployment that starts for the first
        time forms the group with the other seeds; any other VM joins it.
        """
        seeds = cfg.control
        if disk.is_empty(self._folder):
            if self._file.current.own.bootstrap and cfg.name in seeds:
                own_id = members.member_id(
                    cfg.name, members.INITIAL_INCARNATION
                )
                disk.create(
                    self._folder,
                    own_id,
                    members.initial_members(seeds),
                    formed=len(seeds) == 1,
                )
            else:
                formation.create_joining(self._folder, cfg.name)
        stored = disk.load(self._folder)
        if not isinstance(stored, result.Success):
            return
        state = stored.unwrap().hard_state
        if not state.formed:
            addresses = {
                m.name: m.address
                for m in stored.unwrap().snapshot.members.members
            }
            forming = formation.Formation(
                self._folder, cfg.name, addresses, {}, state, self._clock
            )
            await forming.run()

    def _list_member_addresses(self, node: node_lib.ControlNode) -> list[str]:
        """Returns possible addresses of members; seeds may be stale."""
        addresses = dict.fromkeys(self._file.control_addresses())
        return list(addresses | dict.fromkeys(node.list_addresses()))

    async def _serve(
        self, cfg: process_settings.ControlSettings, node: node_lib.ControlNode
    ) -> None:
        channels = channels_lib.Channels({}, self._clock)
        registry = registry_lib.InstanceRegistry(node, self._clock)
        row_streams = row_streams_lib.RowStreams(cfg, node, self._clock)
        calls = group_calls.GroupCalls(node, registry, channels, self._clock)
        own = control_pb2.Member(
            id=node.replica.id, name=cfg.name, address=self._address
        )
        joining = joining_lib.Joining(
            node,
            own,
            lambda: self._list_member_addresses(node),
            channels,
            self._clock,
        )
        server = grpc_server.make_server(
            [
                service.ReplicationService(node, self._clock),
                service.ControlService(
                    node, row_streams.stream_server, self._clock, registry
                ),
            ],
            self._clock,
        )
        current = self._file.current
        with listening.report_bind_errors(self._address):
            await server.start(*addresses_lib.split(self._address))
        api = control_api.ControlApi(
            calls,
            lambda: node.tables.routes(),
            frozenset(current.network.zones),
            control_api.Location(
                cfg.data_centre, current.network.listen.control
            ),
            self._clock,
        )
        metrics = node_status.make_metrics(node)
        metrics.add_gauge_updater(
            functools.partial(self._memory.set_gauges, metrics)
        )
        operators = operator_endpoints.OperatorEndpoints(
            metrics,
            lambda: node_status.dump(current.own.node_name, node),
        )
        self._set_handlers(api, operators)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(node.run)
                tasks.start_soon(row_streams.run)
                tasks.start_soon(registry.run)
                tasks.start_soon(calls.run)
                tasks.start_soon(joining.run)
                logger.info("started", member=node.replica.id)
                await self._stop.wait()
                self._server.begin_stop()
                await node.hand_over()
                # The calls need this member to reach the new leader.
                await self._server.stop_listening()
                await self._server.finish(self._clock.now() + FINISH_CALLS_MS)
                self._server.close()
                await node.leave()
                tasks.cancel_scope.cancel()
        finally:
            server.close()
            channels.close()
            node.close()


async def run() -> None:
    """Runs the control program until a signal to stop."""
    await Core(process.WatchedNodeFile(REQUIRED_FIELDS)).run()
