"""Membership of the group of control VMs: voters, learners and quorum."""

from cardamomkeel.wire import control_pb2

INITIAL_INCARNATION = "first"


def member_id(name: str, incarnation: str) -> str:
    """Returns the member id of a control VM with one incarnation of its disk.

    A control VM that lost its disk gets a new incarnation, so that it can't
    vote twice in one term.
    """
    return f"{name}.{incarnation}"


def initial_members(addresses: dict[str, str]) -> control_pb2.Members:
    """Returns the initial members of a new control group.

    Args:
        addresses: The address of each control VM, by name.
    """
    return control_pb2.Members(
        members=[
            control_pb2.Member(
                id=member_id(name, INITIAL_INCARNATION),
                name=name,
                address=address,
                voter=True,
            )
            for name, address in sorted(addresses.items())
        ]
    )


def voters(members: control_pb2.Members) -> list[str]:
    """Returns the ids of the voters."""
    return [member.id for member in members.members if member.voter]


def quorum(members: control_pb2.Members) -> int:
    """Returns the number of voters that form a majority."""
    return len(voters(members)) // 2 + 1


def can_spare_voter(members: control_pb2.Members) -> bool:
    """Returns whether the group is safer without a voter that is lost.

    A group with an even number of voters tolerates no more failures than with
    one voter less. Two voters are both kept, since one alone would leave a
    single copy of the log.
    """
    count = len(voters(members))
    return count > 2 and count % 2 == 0


def find_majority_value(
    members: control_pb2.Members, values: dict[str, float], default: float
) -> float:
    """Returns the greatest value that a majority of voters has reached.

    Args:
        members: The membership.
        values: The values by member id.
        default: The value of a voter without one.
    """
    reached = sorted(
        (values.get(voter, default) for voter in voters(members)), reverse=True
    )
    return reached[quorum(members) - 1] if reached else default


def get_member_by_name(
    members: control_pb2.Members, name: str
) -> control_pb2.Member | None:
    """Returns the member with a name, or None."""
    for member in members.members:
        if member.name == name:
            return member
    return None


def get_member_by_id(
    members: control_pb2.Members, member_id: str
) -> control_pb2.Member | None:
    """Returns the member with an id, or None."""
    for member in members.members:
        if member.id == member_id:
            return member
    return None


def with_learner(
    members: control_pb2.Members,
    learner: control_pb2.Member,
    max_members: int = 0,
) -> control_pb2.Members | None:
    """Returns the members with a learner added, in one single-step change.

    A member of the same name is replaced: it lost its disk, so its earlier
    vote must not count again. Returns None if the learner may not join.

    Args:
        members: The current members.
        learner: The replica that joins.
        max_members: While the group has fewer members than this, a replica
            may join whose name is not expected.
    """
    expected = set(members.expected)
    existing = get_member_by_name(members, learner.name)
    is_open = len(members.members) < max_members
    if existing is None and learner.name not in expected and not is_open:
        return None
    changed = control_pb2.Members()
    changed.members.extend(
        member for member in members.members if member.name != learner.name
    )
    added = changed.members.add()
    added.CopyFrom(learner)
    added.voter = False
    changed.expected.extend(sorted(expected - {learner.name}))
    return changed


def with_voter(
    members: control_pb2.Members, member_id: str
) -> control_pb2.Members:
    """Returns the members with one learner promoted to voter."""
    changed = control_pb2.Members()
    changed.CopyFrom(members)
    for member in changed.members:
        if member.id == member_id:
            member.voter = True
    return changed


def without_member(
    members: control_pb2.Members, name: str
) -> control_pb2.Members:
    """Returns the members without one name, expected or joined."""
    changed = control_pb2.Members()
    changed.members.extend(
        member for member in members.members if member.name != name
    )
    changed.expected.extend(
        expected for expected in members.expected if expected != name
    )
    return changed


def with_expected(
    members: control_pb2.Members, name: str
) -> control_pb2.Members:
    """Returns the members with one more name that is expected to join."""
    changed = control_pb2.Members()
    changed.CopyFrom(members)
    existing = get_member_by_name(members, name)
    if existing is None and name not in changed.expected:
        changed.expected.append(name)
    return changed
