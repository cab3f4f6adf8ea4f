"""The members of the control group."""

from cardamomkeel.wire import control_pb2

INITIAL_INCARNATION = "first"


def member_id(name: str, incarnation: str) -> str:
    """Returns the id of one life of a control VM's disk."""
    return f"{name}.{incarnation}"


def initial_members(addresses: dict[str, str]) -> control_pb2.Members:
    """Returns the members that a new control group starts with.

    Args:
        addresses: Address by control VM name.
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
    """Returns the ids of the members whose votes count."""
    return [member.id for member in members.members if member.voter]


def quorum(members: control_pb2.Members) -> int:
    """Returns how many voters make a majority."""
    return len(voters(members)) // 2 + 1


def get_member_by_name(
    members: control_pb2.Members, name: str
) -> control_pb2.Member | None:
    """Returns the member of that name, or None."""
    for member in members.members:
        if member.name == name:
            return member
    return None


def get_member_by_id(
    members: control_pb2.Members, member_id: str
) -> control_pb2.Member | None:
    """Returns the member of that id, or None."""
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

    A member of the same name is replaced: it lost its disk, so its old vote
    must not count again. Returns None where the learner is not expected.

    Args:
        members: The members in force.
        learner: The replica that joins.
        max_members: Up to how many members any replica may join.
    """
    expected = set(members.expected)
    known = get_member_by_name(members, learner.name)
    is_open = len(members.members) < max_members
    if known is None and learner.name not in expected and not is_open:
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
    """Returns the members with one learner made a voter."""
    changed = control_pb2.Members()
    changed.CopyFrom(members)
    for member in changed.members:
        if member.id == member_id:
            member.voter = True
    return changed


def without_member(
    members: control_pb2.Members, name: str
) -> control_pb2.Members:
    """Returns the members without the one of that name."""
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
    """Returns the members with a name that may join."""
    changed = control_pb2.Members()
    changed.CopyFrom(members)
    known = get_member_by_name(members, name)
    if known is None and name not in changed.expected:
        changed.expected.append(name)
    return changed
