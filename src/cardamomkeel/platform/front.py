"""The entry program, which runs on the VMs that callers connect to."""

import anyio

from cardamomkeel.gateway import http_server
from cardamomkeel.gateway import operator_endpoints
from cardamomkeel.gateway import program as program_lib
from cardamomkeel.gateway import settings as settings_lib
from cardamomkeel.platform import directory as directory_lib
from cardamomkeel.platform import header_names
from cardamomkeel.platform import process
from cardamomkeel.platform import process_memory
from cardamomkeel.platform import timings
from cardamomkeel.policy import body_limits
from cardamomkeel.policy import process_limits
from cardamomkeel.policy import quota as quota_lib

# Bytes per second of 1 Mbit/s.
BYTES_PER_MBIT = 125_000
# Fields of the settings file that the program can't run without.
REQUIRED_FIELDS = ("network.listen.front", "network.listen.ready")


def make_settings(
    file: process.WatchedNodeFile,
) -> settings_lib.GatewaySettings:
    """Converts the platform's settings file to the settings of an entry."""
    current = file.current
    bounds = current.timeouts.bounds
    own = current.own
    return settings_lib.GatewaySettings(
        name=own.node_name,
        data_centre=own.zone,
        callers_address=current.network.listen.front,
        entries_address=current.internal_address(
            own.ip, process.OFFSET_OF_LOADS_PORT
        ),
        operators_address=file.operators_address(),
        control={address: address for address in file.control_addresses()},
        headers=header_names.HEADERS,
        timings=settings_lib.Timings(timings.POLL_TIMEOUT_MS, timings.LEASE_MS),
        resend_share=bounds.retry_budget_ratio,
        resend_slack=bounds.retry_budget_slack,
        resend_window_ms=bounds.budget_window_s * 1000,
        quota=quota_lib.Bounds(
            bounds.quota_window_s * 1000,
            bounds.quota_excess,
            bounds.quota_slack,
        ),
        stop_within_ms=timings.stop_within_ms(bounds),
        listen_on_ms=timings.listen_on_ms(bounds),
        keep_addresses_ms=timings.keep_addresses_ms(bounds),
        longest_hold_ms=timings.longest_hold_ms(bounds),
        link_bytes_per_s=own.limits.link_mbps * BYTES_PER_MBIT,
        buffer_bytes=process_memory.get_buffer_bytes(own.limits),
        connections=process_memory.get_connections(
            own.limits, process_limits.CALLERS_SHARE
        ),
    )


async def run() -> None:
    """Runs the entry program until a signal to stop."""
    file = process.WatchedNodeFile(REQUIRED_FIELDS)
    cfg = make_settings(file)
    program = program_lib.GatewayProgram(cfg)
    stop = anyio.Event()
    listen = file.current.network.listen

    def update_control_addresses() -> None:
        program.session.add_members(file.control_addresses())

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(process.watch_signals, stop, file.reload)
        tasks.start_soon(file.watch, update_control_addresses)
        await program.run(tasks)
        handlers = {
            listen.ready: directory_lib.Readiness(program.is_ready),
            listen.directory: directory_lib.Directory(
                program.session, program.gossip, cfg.keep_addresses_ms
            ),
        }
        endpoints = operator_endpoints.OperatorEndpoints(
            program.metrics, program.dump
        )
        servers = await process.serve_status(
            file, endpoints, program.clk, program.memory
        )
        connections = process_memory.get_connections(file.current.own.limits)
        for address, handler in handlers.items():
            if address:
                server = http_server.HttpServer(
                    handler,
                    program.clk,
                    memory=program.memory,
                    max_connections=connections,
                    body_limits=body_limits.ShortBodies(),
                )
                await server.start(address)
                servers.append(server)
        await stop.wait()
        await program.stop()
        for server in servers:
            await server.stop_listening()
        tasks.cancel_scope.cancel()
