"""Counts what the targets of an entry run and could run, by service."""

from cardamomkeel import clock
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.policy import saturation


class RoomCounts:
    """Counts over the targets of one entry."""

    def __init__(self, targets: targets_lib.Targets, clk: clock.Clock):
        self._targets = targets
        self._clock = clk

    def count_running(self) -> dict[str, dict[str, int]]:
        """Returns running requests by service and data centre of the target."""
        counts: dict[str, dict[str, int]] = {}
        for service in self._targets.list_services():
            for target in self._targets.get(service):
                if target.running:
                    by_place = counts.setdefault(service, {})
                    place = target.data_centre
                    by_place[place] = by_place.get(place, 0) + target.running
        return counts

    def count_near_slots(self) -> dict[str, int]:
        """Returns the useful slots of near targets, by service.

        Only targets that are in service, reachable and warm count.
        """
        now = self._clock.now()
        counts = {}
        for service in self._targets.list_services():
            factor = self._targets.saturation_factor(service, now)
            counts[service] = sum(
                saturation.count_useful_slots(target.slots, factor)
                for target in self._targets.get(service)
                if target.near and self._targets.is_useful(target, now)
            )
        return counts
