"""Which entry owns which target."""

import collections
import dataclasses
import math

from cardamomkeel.wire import control_pb2

# One owner chooses well among this many targets.
TARGETS_PER_OWNER = 16
# How many targets may change their owner by choice in one round.
MOVES_PER_ROUND = 8


@dataclasses.dataclass(frozen=True)
class Group:
    """The targets of one service in one data centre."""

    service: str
    data_centre: str


class _Plan:
    """The owners as they will be, while a plan is made."""

    def __init__(
        self,
        targets: list[control_pb2.TargetRecord],
        entries: list[control_pb2.EntryRecord],
    ):
        self.entries = {e.session: e for e in entries if not e.leaving}
        self.groups: dict[Group, list[control_pb2.TargetRecord]] = (
            collections.defaultdict(list)
        )
        for target in targets:
            group = Group(target.service, target.data_centre)
            self.groups[group].append(target)
        self.load: collections.Counter[int] = collections.Counter()
        self.owners: dict[Group, collections.Counter[int]] = (
            collections.defaultdict(collections.Counter)
        )
        for group, members in self.groups.items():
            for target in members:
                owner = target.next_owner or target.owner
                if owner in self.entries:
                    self.load[owner] += 1
                    self.owners[group][owner] += 1

    def eligible(self, group: Group) -> list[int]:
        """Returns the sessions that may own a group, near ones if any."""
        near = [
            session
            for session, entry in self.entries.items()
            if entry.data_centre == group.data_centre
        ]
        return near or list(self.entries)

    def pick(self, group: Group) -> int | None:
        """Returns the owner for one more target of a group."""
        eligible = self.eligible(group)
        if not eligible:
            return None
        current = self.owners[group]
        wanted = math.ceil(len(self.groups[group]) / TARGETS_PER_OWNER)
        holders = [s for s in eligible if current[s] > 0]
        if len(holders) >= wanted:
            return min(holders, key=lambda s: (current[s], s))
        return min(eligible, key=lambda s: (current[s], self.load[s], s))

    def give(self, group: Group, session: int) -> None:
        """Counts one more target of a group for a session."""
        self.load[session] += 1
        self.owners[group][session] += 1


def plan(
    targets: list[control_pb2.TargetRecord],
    entries: list[control_pb2.EntryRecord],
) -> list[control_pb2.Assignment]:
    """Returns the changes of owners to make now.

    Targets without an owner get one at once. Those whose owner leaves, or
    sits in another data centre although a near entry is there, move at a
    bounded rate. All others stay.
    """
    draft = _Plan(targets, entries)
    assignments = []
    moves = 0
    for group, members in sorted(
        draft.groups.items(), key=lambda g: (g[0].service, g[0].data_centre)
    ):
        eligible = set(draft.eligible(group))
        for target in sorted(members, key=lambda t: t.address):
            future = target.next_owner or target.owner
            if future in eligible:
                continue
            if target.owner and moves >= MOVES_PER_ROUND:
                continue
            session = draft.pick(group)
            if session is None:
                continue
            moves += 1 if target.owner else 0
            draft.give(group, session)
            assignments.append(
                control_pb2.Assignment(address=target.address, session=session)
            )
    return assignments
