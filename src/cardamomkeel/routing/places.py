"""The entries that an attempt can go to, in the order to try them."""

import random

from cardamomkeel import clock
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib

# The place of this entry itself.
HERE = ""
# How long a place that refused is tried last, by what it showed.
AVOID_MS = {
    messages.Sign.FULL: 50.0,
    messages.Sign.SHED: 50.0,
    messages.Sign.UNREACHABLE: 1000.0,
}


class Places:
    """Remembers for a moment which entries refused, from their answers."""

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

    def note(self, service: str, place: str, ended: messages.Ended) -> None:
        """Takes into account how an attempt at a place ended."""
        avoid_ms = AVOID_MS.get(ended.sign)
        if avoid_ms is not None:
            until = self._clock.now() + avoid_ms
            self._avoid_until[(service, place)] = until
        elif ended.outcome is messages.Outcome.ANSWERED:
            self._avoid_until.pop((service, place), None)

    def rank(
        self, service: str, excluded: frozenset[str], tried: list[str]
    ) -> list[str]:
        """Returns the places of a service, the best first.

        Args:
            service: The service.
            excluded: Targets that do not count.
            tried: The places that were tried already.
        """
        view = self._session.view
        ranked: dict[str, tuple] = {}
        for target in view.get_targets_by_service(service):
            entry = view.entries.get(target.owner)
            if entry is None or target.address in excluded:
                continue
            if view.is_out(target):
                continue
            here = entry.session == self._session.id
            place = HERE if here else entry.entries_address
            if place not in ranked:
                far = entry.data_centre != self._data_centre
                ranked[place] = self._rank_place(service, place, far, tried)
        return sorted(ranked, key=lambda place: ranked[place])

    def _rank_place(
        self, service: str, place: str, far: bool, tried: list[str]
    ) -> tuple:
        until = self._avoid_until.get((service, place), 0.0)
        return (
            self._clock.now() < until,
            tried.count(place),
            place != HERE,
            far,
            self._rng.random(),
        )
