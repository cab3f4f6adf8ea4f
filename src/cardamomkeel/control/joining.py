"""Has a control VM that is no member of its group join it."""

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

# Between two attempts to join; the leader adds one member at a time.
RETRY_PAUSE_MS = 500.0
# How long one attempt may take, a commit included.
TIMEOUT_MS = 1000.0
# A member that has heard of no leader for so long may have been removed while
# it was cut off; it asks, and is told that it still is one otherwise.
NO_LEADER_TIMEOUT_MS = 3000.0

logger = loguru.logger


class Joining:
    """Asks to be a member for as long as this replica is none."""

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
        """Runs until cancelled."""
        while True:
            if self._is_needed():
                await self._request_join()
            await anyio.sleep(clock.seconds(RETRY_PAUSE_MS))

    async def _request_join(self) -> None:
        """Asks all that are known, and whoever they say leads."""
        pending = list(self._list_addresses())
        asked = {self._own.address}
        while pending:
            address = pending.pop(0)
            if address in asked:
                continue
            asked.add(address)
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
            logger.info("not joined yet", reason=reply.unwrap().message)
            # After a lost disk only the seeds are known, and none may lead.
            if reply.unwrap().leader_address:
                pending.insert(0, reply.unwrap().leader_address)
