"""Calls to the leader of the control group."""

import collections
import typing

import anyio
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import channels as channels_lib
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2

# Pause before the next control VM is called, shorter than an election.
RETRY_PAUSE_MS = 50.0
# How long to wait for one control VM at first before the next one is called:
# enough for a commit, or for a former leader to find out that it lost its
# leadership.
ATTEMPT_MS = 1000.0
# The same for a change of members, which may need two commits.
MEMBERS_ATTEMPT_MS = 2000.0


class ControlClient:
    """Finds the leader of a control group and calls it.

    A request may reach the leader more than once, so each command carries an
    identifier by which the leader recognizes a repeated one.
    """

    def __init__(
        self, addresses: list[str], reach: dict[str, str], clk: clock.Clock
    ):
        self._addresses = list(addresses)
        self._clock = clk
        self._channels = channels_lib.Channels(reach, clk)
        self._next = 0
        self._leader = ""

    def close(self) -> None:
        """Closes all connections."""
        self._channels.close()

    def set_addresses(self, addresses: list[str]) -> None:
        """Replaces the addresses of the control VMs."""
        self._addresses = list(addresses)

    def _pick_address(self) -> str:
        if self._leader:
            return self._leader
        address = self._addresses[self._next % len(self._addresses)]
        self._next += 1
        return address

    async def _call(
        self,
        method: str,
        req: typing.Any,
        attempt_ms: clock.Millis,
        timeout_ms: clock.Millis,
    ) -> result.Result[typing.Any, errors.Error]:
        """Retries a call until the leader answers or `timeout_ms` has passed.

        Args:
            method: The name of the gRPC method.
            req: The message to send.
            attempt_ms: How long to wait for the first answer of a control VM.
                Each timeout doubles it for this VM, whose disk may be slow.
            timeout_ms: How long all attempts may take together.
        """
        until = self._clock.now() + timeout_ms
        timeouts = collections.Counter()
        reason = "no leader is known"
        while True:
            remaining_ms = until - self._clock.now()
            if remaining_ms <= 0:
                return result.Failure(
                    errors.UnavailableError(
                        f"the control group does not answer: {reason}",
                        "see that a majority of its VMs run and reach each "
                        "other",
                    )
                )
            address = self._pick_address()
            wait_ms = min(attempt_ms * 2 ** timeouts[address], remaining_ms)
            started_at = self._clock.now()
            reply = await self._channels.call(
                address, control_grpc.ControlStub, method, req, wait_ms
            )
            if isinstance(reply, result.Success):
                if reply.unwrap().leader:
                    self._leader = address
                    return reply
                reason = f"{address} does not lead"
                self._leader = reply.unwrap().leader_address
            else:
                if self._clock.now() - started_at >= wait_ms:
                    timeouts[address] += 1
                reason = str(reply.failure())
                self._leader = ""
            await anyio.sleep(clock.seconds(RETRY_PAUSE_MS))

    async def propose(
        self,
        commands: list[control_pb2.Command],
        timeout_ms: clock.Millis,
        attempt_ms: clock.Millis = ATTEMPT_MS,
    ) -> result.Result[list[control_pb2.CommandResult], errors.Error]:
        """Commits commands and returns a result for each."""
        req = control_pb2.ProposeRequest(commands=commands)
        reply = await self._call("Propose", req, attempt_ms, timeout_ms)
        return reply.map(lambda done: list(done.results))

    async def announce(
        self,
        instances: list[control_pb2.InstanceRecord],
        timeout_ms: clock.Millis,
        attempt_ms: clock.Millis = ATTEMPT_MS,
    ) -> result.Result[control_pb2.AnnounceReply, errors.Error]:
        """Sends announcements of backend servers; changes are committed."""
        req = control_pb2.AnnounceRequest(instances=instances)
        return await self._call("Announce", req, attempt_ms, timeout_ms)

    async def change_members(
        self,
        req: control_pb2.ChangeMembersRequest,
        timeout_ms: clock.Millis,
        attempt_ms: clock.Millis = MEMBERS_ATTEMPT_MS,
    ) -> result.Result[control_pb2.ChangeMembersReply, errors.Error]:
        """Allows a control VM to join, or removes it."""
        return await self._call("ChangeMembers", req, attempt_ms, timeout_ms)

    async def read(
        self,
        req: control_pb2.ReadRequest,
        timeout_ms: clock.Millis,
        attempt_ms: clock.Millis = ATTEMPT_MS,
    ) -> result.Result[control_pb2.ReadReply, errors.Error]:
        """Reads rows of the replicated state, confirmed by a majority."""
        return await self._call("Read", req, attempt_ms, timeout_ms)
