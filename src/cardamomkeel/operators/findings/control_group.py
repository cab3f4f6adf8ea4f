"""Checks that the control group has a majority and members to spare."""

import collections.abc

from cardamomkeel.operators import fleet as fleet_lib
from cardamomkeel.operators.findings import base

# A follower further behind would delay a change of leader.
MAX_LAG_ENTRIES = 1000


def _find_most_recent(fleet: fleet_lib.Fleet) -> fleet_lib.ControlState:
    """Returns the state of the leader, or else the most recent state."""
    states = [state for state in fleet.controls.values() if state]
    return max(states, key=lambda s: (s.role == "leader", s.term, s.commit))


def find(fleet: fleet_lib.Fleet) -> collections.abc.Iterator[base.Finding]:
    """Yields members that don't answer, don't vote yet or lag."""
    most_recent = _find_most_recent(fleet)
    members = most_recent.members.members
    answering = {
        state.member: state for state in fleet.controls.values() if state
    }
    voters = [member for member in members if member.voter]
    missing = [member.name for member in voters if member.id not in answering]
    majority = len(voters) // 2 + 1
    spare = len(voters) - len(missing) - majority
    if missing:
        yield _describe_missing(missing, spare)
    if most_recent.role != "leader" and spare >= 0:
        yield base.Finding(
            base.Level.ACT,
            "control group",
            "no control VM leads",
            "wait for an election; if it lasts, look at the network "
            "between the control VMs",
        )
    for member in members:
        state = answering.get(member.id)
        if state is not None:
            yield from _find_member(member, state, most_recent)


def _describe_missing(missing: list[str], spare: int) -> base.Finding:
    named = ", ".join(sorted(missing))
    if spare < 0:
        return base.Finding(
            base.Level.ACT,
            "control group",
            f"no majority: {named} did not answer",
            "name all control VMs with --at; start those that are down and "
            "mend the network; see docs/operators/no-quorum.md",
        )
    return base.Finding(
        base.Level.WARN,
        "control group",
        f"{named} did not answer; {spare} more may be lost",
        "name all control VMs with --at; repair those that are down at once",
    )


def _find_member(
    member: fleet_lib.Member,
    state: fleet_lib.ControlState,
    most_recent: fleet_lib.ControlState,
) -> collections.abc.Iterator[base.Finding]:
    if not member.voter:
        yield base.Finding(
            base.Level.NOTE,
            member.name,
            "learns the log and does not vote yet",
            "nothing; it votes once it has caught up",
        )
    behind = most_recent.commit - state.commit
    if behind > MAX_LAG_ENTRIES:
        yield base.Finding(
            base.Level.WARN,
            member.name,
            f"is {behind} log entries behind",
            "look at its disk and its network",
        )
