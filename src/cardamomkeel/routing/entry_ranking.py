"""Ranks the entries that an attempt can be sent to."""

import dataclasses
import random

from cardamomkeel import clock
from cardamomkeel.policy import least_cost
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import view as view_lib

# Stands for this entry in place of an address.
THIS_ENTRY = ""
# How long an entry that refused is ranked last, by the sign of the attempt.
AVOID_MS = {
    messages.Sign.FULL: 50.0,
    messages.Sign.SHED: 50.0,
    messages.Sign.UNREACHABLE: 1000.0,
}
# Signs of a failed target; its entry may own no other target.
FAILURE_SIGNS = frozenset(
    [
        messages.Sign.BROKEN,
        messages.Sign.REFUSED,
        messages.Sign.TIMED_OUT,
        messages.Sign.SERVER_ERROR,
    ]
)


@dataclasses.dataclass
class _OwnedGroup:
    """The targets of one service that one entry owns.

    Attributes:
        entry_address: The address of the entry, or THIS_ENTRY.
        remote: Whether the entry is in another data centre.
        addresses: The addresses of the targets.
    """

    entry_address: str
    remote: bool
    addresses: set[str] = dataclasses.field(default_factory=set)


class EntryRanker:
    """Ranks entries, those that recently refused or failed requests last.

    An entry whose attempts all fail is ranked last. After a pause, which
    doubles with each further failure, one request may try it. This saves the
    retry budget, since each failed request is retried at another entry.
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
        self._health: dict[tuple[str, str], least_cost.Health] = {}
        # The view, its edition and the session for which groups are cached.
        self._grouped_view: view_lib.View | None = None
        self._group_versions: tuple[int, int] = (0, 0)
        self._groups: dict[str, list[_OwnedGroup]] = {}

    def record_result(
        self,
        service: str,
        entry_address: str,
        req_result: messages.RequestResult,
    ) -> None:
        """Records the result of an attempt that was sent to an entry."""
        avoid_ms = AVOID_MS.get(req_result.sign)
        if avoid_ms is not None:
            until = self._clock.now() + avoid_ms
            self._avoid_until[(service, entry_address)] = until
        elif req_result.sign in FAILURE_SIGNS:
            self._record_failure((service, entry_address))
        elif req_result.outcome is messages.Outcome.ANSWERED:
            self._avoid_until.pop((service, entry_address), None)
            self._health.pop((service, entry_address), None)

    def _record_failure(self, key: tuple[str, str]) -> None:
        health = self._health.setdefault(key, least_cost.Health())
        health.record_result(0.0, failed=True, now=self._clock.now())
        if health.is_failing():
            self._avoid_until[key] = health.probe_at()

    def rank(
        self, service: str, excluded: frozenset[str], tried: list[str]
    ) -> list[str]:
        """Returns the addresses of entries for a service, best first.

        Args:
            service: The service that the caller requested.
            excluded: Addresses of targets that must not be used.
            tried: The entries that were tried already.
        """
        ranked = {
            group.entry_address: self._get_rank(service, group, tried)
            for group in self._get_groups(service)
            if not group.addresses <= excluded
        }
        if len(ranked) == 1:
            return list(ranked)
        return sorted(ranked, key=lambda entry_address: ranked[entry_address])

    def _get_groups(self, service: str) -> list[_OwnedGroup]:
        """Returns the usable targets of a service, grouped by entry."""
        view = self._session.view
        versions = (view.edition, self._session.id)
        if self._grouped_view is not view or self._group_versions != versions:
            self._grouped_view, self._group_versions = view, versions
            self._groups = {}
        groups = self._groups.get(service)
        if groups is None:
            groups = self._make_groups(service)
            self._groups[service] = groups
        return groups

    def _make_groups(self, service: str) -> list[_OwnedGroup]:
        view = self._session.view
        groups: dict[str, _OwnedGroup] = {}
        for target in view.get_usable_targets(service):
            entry = view.entries.get(target.owner)
            if entry is None:
                continue
            is_this_entry = entry.session == self._session.id
            entry_address = (
                THIS_ENTRY if is_this_entry else entry.entries_address
            )
            remote = entry.data_centre != self._data_centre
            group = groups.setdefault(
                entry_address, _OwnedGroup(entry_address, remote)
            )
            group.addresses.add(target.address)
        return list(groups.values())

    def _get_rank(
        self, service: str, group: _OwnedGroup, tried: list[str]
    ) -> tuple:
        until = self._avoid_until.get((service, group.entry_address), 0.0)
        return (
            self._clock.now() < until,
            tried.count(group.entry_address),
            group.entry_address != THIS_ENTRY,
            group.remote,
            self._rng.random(),
        )
