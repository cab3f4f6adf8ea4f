"""Asks the leader to remove a member that stops.

A member that is stopped for good would otherwise count as a voter until the
leader takes it for dead. In a group with an even number of voters, a failure in
that time leaves no majority.
"""

import typing

import anyio
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import replica as replica_lib
from cardamomkeel.wire import control_pb2

# How long a stop waits for the removal, while the member goes on voting.
TIMEOUT_MS = 1000.0
# How long one request may take, including a commit.
REQUEST_TIMEOUT_MS = 500.0
RETRY_PAUSE_MS = 30.0

logger = loguru.logger


async def leave(
    replica: replica_lib.Replica,
    call_member: typing.Callable[..., typing.Awaitable],
) -> None:
    """Asks to be removed if the group is safer without this member.

    A group that keeps its member is not changed: the member may start again.

    Args:
        replica: The replica of this node.
        call_member: Calls a method of another member.
    """
    if not replica.is_voter or not members_lib.can_spare_voter(replica.members):
        return
    req = control_pb2.LeaveRequest(member_id=replica.id)
    with anyio.move_on_after(clock.seconds(TIMEOUT_MS)):
        while True:
            leader = replica.leader
            if leader and leader != replica.id:
                reply = await call_member(
                    leader, "Leave", req, REQUEST_TIMEOUT_MS
                )
                if isinstance(reply, result.Success) and reply.unwrap().leader:
                    return
            await anyio.sleep(clock.seconds(RETRY_PAUSE_MS))
    logger.warning("group did not remove this member before its stop")
