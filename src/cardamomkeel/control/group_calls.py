"""Calls to the control group from within one of its VMs.

The calls run locally on the leader and are sent to the leader by other VMs.
"""

import typing

import anyio
from returns import result

from cardamomkeel import clock
from cardamomkeel.control import channels as channels_lib
from cardamomkeel.control import instance_registry as registry_lib
from cardamomkeel.control import node as node_lib
from cardamomkeel.state import keys
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2

# How long a call is retried before it fails.
TIMEOUT_MS = 900.0
# How long to wait for the answer of the leader.
ATTEMPT_MS = 800.0
RETRY_PAUSE_MS = 30.0
# By how much slow disks may extend `TIMEOUT_MS` and `ATTEMPT_MS`.
MAX_WRITE_ALLOWANCE_MS = 1000.0


class GroupCalls:
    """Commits commands and reads rows through the leader."""

    def __init__(
        self,
        node: node_lib.ControlNode,
        registry: registry_lib.InstanceRegistry,
        channels: channels_lib.Channels,
        clk: clock.Clock,
    ):
        self._node = node
        self._registry = registry
        self._channels = channels
        self._clock = clk

    async def _run_at_leader(
        self,
        run_locally: typing.Callable[[], typing.Awaitable],
        method: str,
        req: typing.Any,
    ) -> typing.Any:
        """Retries a call, locally or at the leader, until it succeeds.

        Returns:
            The result of `run_locally`, the reply of the leader, or None after
            `TIMEOUT_MS` and what slow disks need.
        """
        timeout_ms = TIMEOUT_MS + self._get_write_allowance_ms()
        with anyio.move_on_after(clock.seconds(timeout_ms)):
            while True:
                if self._node.replica.is_ready:
                    outcome = await run_locally()
                    if outcome is not None:
                        return outcome
                elif address := self._node.leader_address():
                    reply = await self._call_leader(address, method, req)
                    if reply is not None:
                        return reply
                await anyio.sleep(clock.seconds(RETRY_PAUSE_MS))
        return None

    def _get_write_allowance_ms(self) -> clock.Millis:
        allowance_ms = self._node.replica.write_allowance_ms(self._clock.now())
        return min(MAX_WRITE_ALLOWANCE_MS, allowance_ms)

    async def _call_leader(
        self, address: str, method: str, req: typing.Any
    ) -> typing.Any:
        timeout_ms = ATTEMPT_MS + self._get_write_allowance_ms()
        reply = await self._channels.call(
            address, control_grpc.ControlStub, method, req, timeout_ms
        )
        if not isinstance(reply, result.Success):
            return None
        return reply.unwrap() if reply.unwrap().leader else None

    async def propose(
        self, command: control_pb2.Command
    ) -> control_pb2.CommandResult | None:
        """Commits a command; returns None if the outcome is unknown."""

        async def run_locally() -> list[control_pb2.CommandResult] | None:
            copied = control_pb2.Command()
            copied.CopyFrom(command)
            return await self._node.propose([copied])

        req = control_pb2.ProposeRequest(commands=[command])
        outcome = await self._run_at_leader(run_locally, "Propose", req)
        if outcome is None:
            return None
        results = outcome if isinstance(outcome, list) else outcome.results
        return results[0]

    async def announce(self, record: control_pb2.InstanceRecord) -> bool:
        """Registers an announcement; returns False if that failed."""
        if self._registry.acknowledge_locally(record):
            return True

        async def run_locally() -> bool | None:
            return await self._registry.announce([record])

        req = control_pb2.AnnounceRequest(instances=[record])
        return (
            await self._run_at_leader(run_locally, "Announce", req) is not None
        )

    async def run(self) -> None:
        """Reports announcements to the leader periodically."""
        while True:
            await anyio.sleep(clock.seconds(registry_lib.REPORT_PERIOD_MS))
            await self.report_seen()

    async def report_seen(self) -> None:
        """Reports the announcements since the last report to the leader."""
        unreported = self._registry.pop_unreported()
        if not unreported:
            return

        async def run_locally() -> bool | None:
            return await self._registry.announce(unreported)

        req = control_pb2.AnnounceRequest(instances=unreported)
        if await self._run_at_leader(run_locally, "Announce", req) is None:
            self._registry.restore_unreported(unreported)

    async def read_rows(self, prefix: str) -> list[control_pb2.Record] | None:
        """Returns the rows with a prefix; None if no leader confirms them."""

        async def run_locally() -> list[control_pb2.Record] | None:
            if not await self._node.confirm_leadership(self._clock.now()):
                return None
            return self._node.tables.read(prefix)

        req = control_pb2.ReadRequest(key=prefix)
        outcome = await self._run_at_leader(run_locally, "Read", req)
        if outcome is None or isinstance(outcome, list):
            return outcome
        return list(outcome.records)

    async def read_routes(self) -> control_pb2.RoutesSource | None:
        """Returns the newest routes; None if no leader confirms them."""

        async def run_locally() -> control_pb2.RoutesSource | None:
            if not await self._node.confirm_leadership(self._clock.now()):
                return None
            return self._node.tables.routes_source()

        req = control_pb2.ReadRequest(key=keys.ROUTES_SOURCE_KEY)
        outcome = await self._run_at_leader(run_locally, "Read", req)
        if outcome is None or isinstance(outcome, control_pb2.RoutesSource):
            return outcome
        for record in outcome.records:
            return record.routes_source
        return control_pb2.RoutesSource()
