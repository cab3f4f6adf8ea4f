"""Assigns targets to the entries that own them."""

import collections
import dataclasses
import math

from cardamomkeel.wire import control_pb2

# Number of targets over which one owner balances requests well. A group has one
# owner per this many targets, rounded up.
TARGETS_PER_OWNER = 16
# Limit of concurrent hand-overs of targets between owners.
MAX_MOVES = 8
# An owner hands its share of a group over if it has at least this many targets
# more than the new owner would have with that share.
MIN_GAIN_TARGETS = 1


@dataclasses.dataclass(frozen=True)
class Group:
    """The targets of one service in one data centre."""

    service: str
    data_centre: str


def _owner_after_handover(target: control_pb2.TargetRecord) -> int:
    """Returns the session that owns a target after a pending hand-over."""
    return target.next_owner or target.owner


class _Plan:
    """Draft of the assignment of owners while it is planned."""

    def __init__(
        self,
        targets: list[control_pb2.TargetRecord],
        entries: list[control_pb2.EntryRecord],
    ):
        self.entries = {e.session: e for e in entries if not e.leaving}
        self.groups: dict[Group, list[control_pb2.TargetRecord]] = (
            collections.defaultdict(list)
        )
        for target in sorted(targets, key=lambda t: t.address):
            group = Group(target.service, target.data_centre)
            self.groups[group].append(target)
        self.load: collections.Counter[int] = collections.Counter()
        self.owners: dict[Group, collections.Counter[int]] = (
            collections.defaultdict(collections.Counter)
        )
        for group, members in self.groups.items():
            for target in members:
                if _owner_after_handover(target) in self.entries:
                    self.count(group, _owner_after_handover(target), 1)
        self.moves = sum(1 for t in targets if t.owner and t.next_owner)
        self.assignments: list[control_pb2.Assignment] = []

    def sorted_groups(self) -> list[Group]:
        """Returns the groups in a deterministic order."""
        return sorted(self.groups, key=lambda g: (g.service, g.data_centre))

    def count(self, group: Group, session: int, number: int) -> None:
        """Adds a number of targets of a group to the load of a session."""
        self.load[session] += number
        self.owners[group][session] += number

    def eligible(self, group: Group) -> list[int]:
        """Returns the sessions that may own a group, only local ones if any."""
        local = [
            session
            for session, entry in self.entries.items()
            if entry.data_centre == group.data_centre
        ]
        return local or list(self.entries)

    def select_owner(self, group: Group) -> int | None:
        """Returns the best owner for one more target of a group, or None."""
        eligible = self.eligible(group)
        if not eligible:
            return None
        current = self.owners[group]
        wanted_owners = math.ceil(len(self.groups[group]) / TARGETS_PER_OWNER)
        current_owners = [s for s in eligible if current[s] > 0]
        if len(current_owners) >= wanted_owners:
            return min(current_owners, key=lambda s: (current[s], s))
        return min(eligible, key=lambda s: (current[s], self.load[s], s))

    def assign(
        self, group: Group, target: control_pb2.TargetRecord, session: int
    ) -> None:
        """Assigns a target to a session within the limit of moves."""
        if target.owner:
            if self.moves >= MAX_MOVES:
                return
            self.moves += 1
        if _owner_after_handover(target) in self.entries:
            self.count(group, _owner_after_handover(target), -1)
        self.count(group, session, 1)
        self.assignments.append(
            control_pb2.Assignment(address=target.address, session=session)
        )


def plan(
    targets: list[control_pb2.TargetRecord],
    entries: list[control_pb2.EntryRecord],
    may_balance: bool = False,
) -> list[control_pb2.Assignment]:
    """Returns the changes of owners to make now.

    Targets without an owner get one at once. Targets whose owner is leaving, or
    is in another data centre although the target's data centre has an entry,
    move with a bounded number of concurrent moves. Other targets keep their
    owner, except that one group at a time may move to a less loaded entry.

    Args:
        targets: All targets.
        entries: All entry sessions.
        may_balance: Whether a group may move only to balance the load.
    """
    draft = _Plan(targets, entries)
    for group in draft.sorted_groups():
        eligible = set(draft.eligible(group))
        for target in draft.groups[group]:
            if _owner_after_handover(target) in eligible:
                continue
            session = draft.select_owner(group)
            if session is not None:
                draft.assign(group, target, session)
    if may_balance and not draft.assignments and draft.moves == 0:
        _balance(draft)
    return draft.assignments


def _balance(draft: _Plan) -> None:
    """Moves one owner's share of a group to a less loaded entry."""
    for group in draft.sorted_groups():
        eligible = draft.eligible(group)
        if len(eligible) < 2:
            continue
        least = min(eligible, key=lambda s: (draft.load[s], s))
        for session, share in sorted(draft.owners[group].items()):
            gain = draft.load[session] - draft.load[least] - share
            if share == 0 or gain < MIN_GAIN_TARGETS:
                continue
            for target in draft.groups[group]:
                if _owner_after_handover(target) == session:
                    draft.assign(group, target, least)
            return
