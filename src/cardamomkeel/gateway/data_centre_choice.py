"""Applies the share of each service's requests that leave the data centre."""

import asyncio
import collections.abc
import random
import typing

import loguru

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import data_centre_reports
from cardamomkeel.gateway import service_figures
from cardamomkeel.gateway import settings as settings_lib
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.log_lines import limits
from cardamomkeel.policy import leaving_data_centre
from cardamomkeel.policy import placement
from cardamomkeel.policy import room as room_lib

# How often figures are reported and shares decided.
INTERVAL_MS = 250.0
BYTES_PER_MB = 1_000_000
# A change of a share by this much, its start and its end are logged.
LOGGED_CHANGE = 0.1

logger = loguru.logger


class Counts(typing.Protocol):
    """Counts over the targets of an entry."""

    def count_running(self) -> dict[str, dict[str, int]]:
        """Returns running requests by service and data centre of the target."""
        ...

    def count_near_slots(self) -> dict[str, int]:
        """Returns the useful slots of near targets, by service."""
        ...


class DataCentreChoice:
    """Decides for the requests of one entry where they may go."""

    def __init__(
        self,
        cfg: settings_lib.LeavingSettings,
        data_centre: str,
        reports: data_centre_reports.DataCentreReports,
        counts: Counts,
        metrics: metrics_lib.Metrics,
        clk: clock.Clock,
        rng: random.Random,
    ):
        self._cfg = cfg
        self._own = data_centre
        self._reports = reports
        self._counts = counts
        self._metrics = metrics
        self._clock = clk
        self._rng = rng
        self._log_limit = limits.Limit("share that leaves changed", clk)
        self._figures: dict[str, service_figures.ServiceFigures] = {}
        self._measured: dict[str, data_centre_reports.Figures] = {}
        self._decisions: dict[str, leaving_data_centre.LeavingDecision] = {}
        # The services whose decision rests on reports that are new enough.
        self._decided: set[str] = set()
        self._logged: dict[str, dict[str, float]] = {}
        self._allowances: dict[
            tuple[str, str], leaving_data_centre.Allowance
        ] = {}
        metrics.add_gauge_updater(self._set_gauges)

    @property
    def _is_on(self) -> bool:
        return self._cfg.max_share > 0 and self._reports.is_useful

    # Requests.

    def note_request(
        self,
        service: str,
        work_ms: clock.Millis,
        objective_ms: clock.Millis,
    ) -> None:
        """Counts a request of a caller.

        Args:
            service: The service that it is for.
            work_ms: Its expected work time.
            objective_ms: The time in which an answer is useful.
        """
        if self._is_on:
            patience_ms = placement.max_local_wait_ms(objective_ms, work_ms)
            self._get_figures(service).count_request(work_ms, patience_ms)

    def note_outcome(
        self,
        target: target_lib.Target,
        was_answered: bool,
        work_ms: clock.Millis,
        took_ms: clock.Millis,
        length: int,
    ) -> None:
        """Counts the outcome of an attempt at a target.

        Args:
            target: The target.
            was_answered: Whether it answered without refusing or failing.
            work_ms: The expected work time.
            took_ms: The time until the outcome.
            length: Bytes of the request and its answer.
        """
        if not self._is_on:
            return
        figures = self._get_figures(target.record.service)
        if not was_answered:
            if target.near:
                figures.count_failure()
            return
        figures.count_bytes(length)
        if target.near:
            figures.count_answer(work_ms, took_ms)
        else:
            self._metrics.count(
                "left_data_centre_bytes",
                "Bytes of requests and answers of other data centres.",
                length,
                data_centre=target.data_centre,
            )

    def _get_figures(self, service: str) -> service_figures.ServiceFigures:
        figures = self._figures.get(service)
        if figures is None:
            figures = service_figures.ServiceFigures(self._clock.now())
            self._figures[service] = figures
        return figures

    def draw(self, service: str) -> str | None:
        """Returns the data centre that a request leaves to, if it does."""
        if service not in self._decided:
            return None
        place = self._decisions[service].draw(self._rng)
        return (
            place if place is not None and self._may(service, place) else None
        )

    def list_allowed(
        self, service: str
    ) -> collections.abc.Container[str] | None:
        """Returns the data centres that a request may leave to.

        None if that is not limited, as no decision is in force.
        """
        if service not in self._decided:
            return None
        offers = self._decisions[service].offers
        return [place for place in offers if self._may(service, place)]

    def _may(self, service: str, place: str) -> bool:
        allowance = self._allowances.get((service, place))
        return allowance is not None and allowance.has_token(self._clock.now())

    def note_sent(self, target: target_lib.Target) -> None:
        """Counts a request that is sent to a target."""
        if target.near:
            return
        self._metrics.count(
            "left_data_centre",
            "Requests sent to a target of another data centre.",
            service=target.record.service,
            data_centre=target.data_centre,
        )
        allowance = self._allowances.get(
            (target.record.service, target.data_centre)
        )
        if allowance is not None:
            allowance.use(self._clock.now())

    # Decisions.

    async def run(self) -> None:
        """Reports figures and decides anew, until cancelled."""
        while True:
            await asyncio.sleep(clock.seconds(INTERVAL_MS))
            self.update()

    def update(self) -> None:
        """Reports the figures of this entry and decides anew."""
        if not self._is_on:
            self._decided.clear()
            return
        now = self._clock.now()
        running = self._counts.count_running()
        for service in running.keys() - self._figures.keys():
            self._get_figures(service)
        self._measured = {
            service: figures.measure(running.get(service, {}), now)
            for service, figures in self._figures.items()
        }
        self._reports.send(self._measured, self._counts.count_near_slots)
        self._decided = {
            service for service in self._figures if self._decide(service, now)
        }

    def _decide(self, service: str, now: clock.Millis) -> bool:
        """Decides on one service.

        Returns:
            Whether the reports of this data centre are new enough.
        """
        rooms = self._list_rooms(service, now)
        if self._own not in rooms:
            return False
        sums = self._reports.known[self._own].services[service]
        decision = self._decisions.get(service)
        if decision is None:
            decision = leaving_data_centre.LeavingDecision(
                self._own, self._cfg.max_share
            )
            self._decisions[service] = decision
        size = sums.sent_bytes / max(1, sums.arrivals)
        way = leaving_data_centre.Way(
            self._cfg.delay_ms,
            clock.MS_PER_SECOND * sums.patience / max(1, sums.arrivals),
            size / BYTES_PER_MB,
            self._cfg.cost_per_mb,
        )
        changed = decision.update(
            rooms, sums.running, way.cost, self._bound_share(sums), now
        )
        self._set_allowances(service, decision, sums, now)
        if changed:
            self._log_change(service, decision, rooms, way.cost)
        return True

    def _list_rooms(
        self, service: str, now: clock.Millis
    ) -> dict[str, room_lib.Room]:
        """Returns the room of a service, by data centre with new reports."""
        known = {
            place: (sums.services[service], now - sums.measured_at)
            for place, sums in self._reports.known.items()
            if service in sums.services
            and now - sums.measured_at < room_lib.MAX_AGE_MS
        }
        return {
            place: figures.make_room(
                sum(f.running.get(place, 0) for f, _ in known.values()), age_ms
            )
            for place, (figures, age_ms) in known.items()
        }

    def _bound_share(self, sums: data_centre_reports.Figures) -> float:
        """Returns the share that the bound on bytes allows."""
        sent = sums.sent_bytes / data_centre_reports.THOUSANDTHS
        if not self._cfg.bytes_per_s or not sent:
            return 1.0
        return min(1.0, self._cfg.bytes_per_s / sent)

    def _set_allowances(
        self,
        service: str,
        decision: leaving_data_centre.LeavingDecision,
        sums: data_centre_reports.Figures,
        now: clock.Millis,
    ) -> None:
        """Gives this entry its part of the offered slots, by its demand."""
        own = self._measured[service]
        # A request holds a slot for demand / arrivals seconds.
        per_slot = own.arrivals / sums.demand if sums.demand else 0.0
        places = set(self._reports.known) | set(decision.offers)
        for place in places - {self._own}:
            key = (service, place)
            if key not in self._allowances:
                self._allowances[key] = leaving_data_centre.Allowance(now)
            offer = decision.offers.get(place)
            rate = offer.slots * per_slot if offer is not None else 0.0
            self._allowances[key].set_rate(rate, now)

    # What operators see.

    def _log_change(
        self,
        service: str,
        decision: leaving_data_centre.LeavingDecision,
        rooms: dict[str, room_lib.Room],
        way_cost: float,
    ) -> None:
        before = self._logged.get(service, {})
        shares = decision.shares
        is_small = before.keys() == shares.keys() and all(
            abs(shares[place] - before[place]) < LOGGED_CHANGE
            for place in shares
        )
        if is_small or not self._log_limit.may_write():
            return
        self._logged[service] = dict(shares)
        logger.info(
            "share that leaves changed",
            service=service,
            shares={place: round(s, 2) for place, s in shares.items()},
            way_cost=round(way_cost, 3),
            rooms={
                place: {
                    "demand": round(room.demand, 1),
                    "capacity": round(room.capacity, 1),
                    "running": room.running,
                    "age_ms": round(room.age_ms),
                }
                for place, room in rooms.items()
            },
        )

    def _set_gauges(self) -> None:
        for service, decision in self._decisions.items():
            is_decided = service in self._decided
            for place in self._reports.known.keys() - {self._own}:
                offer = decision.offers.get(place) if is_decided else None
                share = decision.shares.get(place, 0.0) if is_decided else 0.0
                labels = {"service": service, "data_centre": place}
                self._metrics.gauge(
                    "leaving_share",
                    "Share of requests that leave to a data centre.",
                    share,
                    **labels,
                )
                self._metrics.gauge(
                    "offered_slots",
                    "Slots that another data centre offers.",
                    offer.slots if offer is not None else 0.0,
                    **labels,
                )

    def dump(self) -> dict[str, typing.Any]:
        """Returns the decisions for operators."""
        now = self._clock.now()
        return {
            "shares": {
                service: dict(decision.shares)
                for service, decision in self._decisions.items()
                if service in self._decided
            },
            "report_ages_ms": {
                place: round(now - sums.measured_at)
                for place, sums in self._reports.known.items()
            },
        }
