"""Calls to the control group from within one of its VMs.

They are carried out here where this VM leads, and by the leader elsewhere.
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

# How long a call looks for a leader before it fails.
TIMEOUT_MS = 900.0
# How long the leader's answer may take.
ATTEMPT_MS = 800.0
RETRY_PAUSE_MS = 30.0


class GroupCalls:
    """Has commands committed and rows read, wherever the leader is."""

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
        """Calls here or at the leader until one of them can tell.

        Returns:
            What `here` returned, the leader's reply, or None for no answer
            in time.
        """
        with anyio.move_on_after(clock.seconds(TIMEOUT_MS)):
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

    async def _call_leader(
        self, address: str, method: str, req: typing.Any
    ) -> typing.Any:
        reply = await self._channels.call(
            address, control_grpc.ControlStub, method, req, ATTEMPT_MS
        )
        if not isinstance(reply, result.Success):
            return None
        return reply.unwrap() if reply.unwrap().leader else None

    async def propose(
        self, command: control_pb2.Command
    ) -> control_pb2.CommandResult | None:
        """Has a command committed; None where its end is not known."""

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
        """Takes or passes on an announcement; False where nobody has it."""
        if self._registry.acknowledge_locally(record):
            return True

        async def run_locally() -> bool | None:
            return await self._registry.announce([record])

        req = control_pb2.AnnounceRequest(instances=[record])
        return (
            await self._run_at_leader(run_locally, "Announce", req) is not None
        )

    async def run(self) -> None:
        """Tells the leader again and again which servers were heard here."""
        while True:
            await anyio.sleep(clock.seconds(registry_lib.REPORT_PERIOD_MS))
            await self.report_seen()

    async def report_seen(self) -> None:
        """Tells the leader which servers were heard here of late."""
        unreported = self._registry.pop_unreported()
        if not unreported:
            return

        async def run_locally() -> bool | None:
            return await self._registry.announce(unreported)

        req = control_pb2.AnnounceRequest(instances=unreported)
        if await self._run_at_leader(run_locally, "Announce", req) is None:
            self._registry.restore_unreported(unreported)

    async def read_routes(self) -> control_pb2.RoutesSource | None:
        """Returns the newest routes; None where that is not certain."""

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
