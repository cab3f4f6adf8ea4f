"""Joins a control VM to its group if it is not a member."""

import collections.abc

import anyio
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel.control import channels as channels_lib
from cardamomkeel.control import node as node_lib
from cardamomkeel.replication import members as members_lib
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2

# Pause between attempts to join; the leader adds one member at a time.
RETRY_PAUSE_MS = 500.0
# How long a request to join may take, including a commit.
TIMEOUT_MS = 1000.0
# A member without a leader for this long may have been removed while it was
# partitioned, so it requests to join. Members that were not removed are
# accepted without a change.
NO_LEADER_TIMEOUT_MS = 3000.0

logger = loguru.logger


class Joining:
    """Requests to join while this replica is not a member."""

    def __init__(
        self,
        node: node_lib.ControlNode,
        own: control_pb2.Member,
        list_addresses: collections.abc.Callable[[], list[str]],
        channels: channels_lib.Channels,
        clk: clock.Clock,
    ):
        self._node = node
        self._own = own
        self._list_addresses = list_addresses
        self._channels = channels
        self._clock = clk
        self._leader_seen_at = clk.now()

    def _is_needed(self) -> bool:
        replica = self._node.replica
        now = self._clock.now()
        if replica.leader:
            self._leader_seen_at = now
        known = members_lib.get_member_by_id(replica.members, replica.id)
        return (
            known is None or now - self._leader_seen_at > NO_LEADER_TIMEOUT_MS
        )

    async def run(self) -> None:
        """Requests to join whenever it is needed, until cancelled."""
        while True:
            if self._is_needed():
                await self._request_join()
            await anyio.sleep(clock.seconds(RETRY_PAUSE_MS))

    async def _request_join(self) -> None:
        """Requests to join at all known addresses and at reported leaders."""
        pending = list(self._list_addresses())
        requested = {self._own.address}
        while pending:
            address = pending.pop(0)
            if address in requested:
                continue
            requested.add(address)
            reply = await self._channels.call(
                address,
                control_grpc.ReplicationStub,
                "Join",
                control_pb2.JoinRequest(member=self._own),
                TIMEOUT_MS,
            )
            if not isinstance(reply, result.Success):
                continue
            if reply.unwrap().accepted:
                return
            logger.info(
                "join request not accepted", reason=reply.unwrap().message
            )
            # After the loss of the disk only the configured addresses are
            # known, and possibly none of them is the leader.
            if reply.unwrap().leader_address:
                pending.insert(0, reply.unwrap().leader_address)
