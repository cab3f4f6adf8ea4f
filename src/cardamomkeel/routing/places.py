"""The entries that an attempt can go to, in the order to try them."""

import dataclasses
import random

from cardamomkeel import clock
from cardamomkeel.policy import choose
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import view as view_lib

# The place of this entry itself.
HERE = ""
# How long a place that refused is tried last, by what it showed.
AVOID_MS = {
    messages.Sign.FULL: 50.0,
    messages.Sign.SHED: 50.0,
    messages.Sign.UNREACHABLE: 1000.0,
}
# What a target shows that fails; its place may have no other one.
FAILED = frozenset(
    [
        messages.Sign.BROKEN,
        messages.Sign.REFUSED,
        messages.Sign.TIMED_OUT,
        messages.Sign.SERVER_ERROR,
    ]
)


@dataclasses.dataclass
class _Group:
    """The targets of one service that one entry owns.

    Attributes:
        place: The entry.
        far: Whether it is in another data centre.
        addresses: The targets.
    """

    place: str
    far: bool
    addresses: set[str] = dataclasses.field(default_factory=set)


class Places:
    """Remembers for a moment which entries refused or failed.

    A place where nothing but failures is seen is tried last, but for one
    request after a pause that doubles with each further failure: what it
    fails is retried elsewhere, and the budget for retries soon runs out.
    """

    def __init__(
        self,
        data_centre: str,
        session: session_lib.Session,
        clk: clock.Clock,
        rng: random.Random,
    ):
        self._data_centre = data_centre
        self._session = session
        self._clock = clk
        self._rng = rng
        self._avoid_until: dict[tuple[str, str], clock.Millis] = {}
        self._failing: dict[tuple[str, str], choose.Health] = {}
        # What the groups were made from.
        self._view: view_lib.View | None = None
        self._of: tuple[int, int] = (0, 0)
        self._groups: dict[str, list[_Group]] = {}

    def note(
        self, service: str, place: str, ended: messages.RequestResult
    ) -> None:
        """Takes into account how an attempt at a place ended."""
        avoid_ms = AVOID_MS.get(ended.sign)
        if avoid_ms is not None:
            until = self._clock.now() + avoid_ms
            self._avoid_until[(service, place)] = until
        elif ended.sign in FAILED:
            self._note_failure((service, place))
        elif ended.outcome is messages.Outcome.ANSWERED:
            self._avoid_until.pop((service, place), None)
            self._failing.pop((service, place), None)

    def _note_failure(self, key: tuple[str, str]) -> None:
        health = self._failing.setdefault(key, choose.Health())
        health.note(0.0, failed=True, now=self._clock.now())
        if health.is_failing():
            self._avoid_until[key] = health.probe_at()

    def rank(
        self, service: str, excluded: frozenset[str], tried: list[str]
    ) -> list[str]:
        """Returns the places of a service, the best first.

        Args:
            service: The service.
            excluded: Targets that do not count.
            tried: The places that were tried already.
        """
        ranked = {
            group.place: self._rank_place(service, group, tried)
            for group in self._list_groups(service)
            if not group.addresses <= excluded
        }
        if len(ranked) == 1:
            return list(ranked)
        return sorted(ranked, key=lambda place: ranked[place])

    def _list_groups(self, service: str) -> list[_Group]:
        """Returns the places that own usable targets of a service."""
        view = self._session.view
        made_of = (view.edition, self._session.id)
        if self._view is not view or self._of != made_of:
            self._view, self._of = view, made_of
            self._groups = {}
        groups = self._groups.get(service)
        if groups is None:
            groups = self._make_groups(service)
            self._groups[service] = groups
        return groups

    def _make_groups(self, service: str) -> list[_Group]:
        view = self._session.view
        groups: dict[str, _Group] = {}
        for target in view.get_usable_targets(service):
            entry = view.entries.get(target.owner)
            if entry is None:
                continue
            here = entry.session == self._session.id
            place = HERE if here else entry.entries_address
            far = entry.data_centre != self._data_centre
            group = groups.setdefault(place, _Group(place, far))
            group.addresses.add(target.address)
        return list(groups.values())

    def _rank_place(
        self, service: str, group: _Group, tried: list[str]
    ) -> tuple:
        until = self._avoid_until.get((service, group.place), 0.0)
        return (
            self._clock.now() < until,
            tried.count(group.place),
            group.place != HERE,
            group.far,
            self._rng.random(),
        )
