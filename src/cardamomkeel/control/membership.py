"""Changes to the members of the control group on request.

Operators add and remove members, and a member that stops may leave.
"""

import loguru

from cardamomkeel import clock
from cardamomkeel.control import node as node_lib
from cardamomkeel.replication import members as members_lib
from cardamomkeel.wire import control_pb2

REFUSED = control_pb2.STATUS_REFUSED
OK = control_pb2.STATUS_OK
# How often to check whether a change is committed if no member answers.
COMMIT_POLL_MS = 250.0

logger = loguru.logger


def explain_refused_removal(
    members: control_pb2.Members, live: set[str], name: str
) -> str:
    """Returns why a member can't be removed; empty if it can.

    Args:
        members: The members of the group before the removal.
        live: The ids of the members that answer the leader.
        name: The name of the member to remove.
    """
    remaining = members_lib.without_member(members, name)
    voters = set(members_lib.voters(remaining))
    if not voters:
        return f"{name} is the last voter of the group"
    needed = members_lib.quorum(remaining)
    unresponsive = sorted(voters - live)
    if len(voters) - len(unresponsive) >= needed:
        return ""
    return (
        f"without {name} the group needs {needed} of {len(voters)} votes, "
        f"but these do not answer: {', '.join(unresponsive)}"
    )


async def change(
    node: node_lib.ControlNode,
    clk: clock.Clock,
    req: control_pb2.ChangeMembersRequest,
) -> control_pb2.ChangeMembersReply:
    """Commits a change to the members; a repeated request changes nothing."""
    replica = node.replica
    not_leader = control_pb2.ChangeMembersReply(
        leader_address=node.leader_address()
    )
    if not await node.confirm_leadership(clk.now()):
        return not_leader
    if req.remove:
        live = {
            member.id
            for member in replica.members.members
            if replica.is_live(member.id, clk.now())
        }
        reason = explain_refused_removal(replica.members, live, req.name)
        changed = members_lib.without_member(replica.members, req.name)
    else:
        reason = ""
        changed = members_lib.with_expected(replica.members, req.name)
    if reason:
        return control_pb2.ChangeMembersReply(
            leader=True, status=REFUSED, message=reason
        )
    if changed != replica.members and not await _commit(node, changed):
        return not_leader
    return control_pb2.ChangeMembersReply(leader=True, status=OK)


async def _commit(
    node: node_lib.ControlNode, changed: control_pb2.Members
) -> bool:
    """Commits a membership; returns False if the outcome is unknown."""
    replica = node.replica
    index = node.propose_members(changed)
    if index is None:
        return False
    while replica.is_leader and replica.commit_index < index:
        await node.member_acked.wait(clock.seconds(COMMIT_POLL_MS))
    return replica.commit_index >= index


async def leave(
    node: node_lib.ControlNode,
    clk: clock.Clock,
    req: control_pb2.LeaveRequest,
) -> control_pb2.LeaveReply:
    """Removes a member that stops if the group is safer without it."""
    if not await node.confirm_leadership(clk.now()):
        return control_pb2.LeaveReply()
    members = node.replica.members
    member = members_lib.get_member_by_id(members, req.member_id)
    if member is None or not member.voter:
        return control_pb2.LeaveReply(leader=True, removed=True)
    if not members_lib.can_spare_voter(members):
        return control_pb2.LeaveReply(leader=True)
    changed = members_lib.without_member(members, member.name)
    if not await _commit(node, changed):
        return control_pb2.LeaveReply()
    logger.info("removed stopping member", member=member.id)
    return control_pb2.LeaveReply(leader=True, removed=True)
