"""The state of all targets that an entry may send to."""

import collections.abc
import random
import typing

from cardamomkeel import clock
from cardamomkeel.gateway import data_centre_choice
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.policy import cold_start_rate
from cardamomkeel.policy import departures
from cardamomkeel.policy import incarnations
from cardamomkeel.policy import placement
from cardamomkeel.policy import preferred_targets
from cardamomkeel.policy import saturation
from cardamomkeel.policy import typical_load
from cardamomkeel.policy import work_time
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

# Results of a target are sent to peers for this time after it failed a request.
SHARE_RESULTS_MS = 2000.0


class VersionFilter(typing.Protocol):
    """Tells which versions of a service may get requests."""

    def may_send(self, target: target_lib.Target) -> bool:
        """Returns whether a target may get a request drawn for it."""
        ...


class Targets:
    """All targets of the view, by address and by service.

    Attributes:
        choice: Decides which requests leave the data centre; None if each
            request may.
        rollouts: Tells which versions may get requests; None for all.
    """

    def __init__(
        self,
        data_centre: str,
        name: str,
        gossip: gossip_lib.Gossip,
        clk: clock.Clock,
    ):
        self._data_centre = data_centre
        self._name = name
        self._gossip = gossip
        self._clock = clk
        self._by_address: dict[str, target_lib.Target] = {}
        self._by_service: dict[str, list[target_lib.Target]] = {}
        self._work: dict[str, work_time.ServiceWork] = {}
        self._typical: dict[str, typical_load.TypicalLoad] = {}
        self._data_centres_out: set[str] = set()
        self._departures = departures.Departures()
        self._view: view_lib.View | None = None
        self.choice: data_centre_choice.DataCentreChoice | None = None
        self.rollouts: VersionFilter | None = None

    def apply_changes(
        self, view: view_lib.View, changes: view_lib.Changes
    ) -> None:
        """Updates the targets after a change of the view.

        Args:
            view: The current rows.
            changes: The rows that have changed since the last call.
        """
        now = self._clock.now()
        self._view = view
        addresses = changes.instances
        if changes.all_rows:
            addresses = view.instances.keys() | self._by_address.keys()
        changed = set()
        for address in addresses:
            changed |= self._apply_instance(address, now)
        if changes.all_rows or changes.outs:
            self._apply_outs(view, now)
        for service in changed:
            self._mark_preferred(self.get(service))

    def _apply_instance(self, address: str, now: clock.Millis) -> set[str]:
        """Adds, updates or removes the target at one address.

        Returns:
            The services whose preferred targets have to be picked again.
        """
        target = self._by_address.get(address)
        record = self._view.instances.get(address)
        if record is not None and record.state != incarnations.READY:
            record = None
        if target is not None and record is not None:
            if target.record is record:
                return set()
            if incarnations.is_same_incarnation(target.record, record):
                return self._update_target(target, record, now)
        changed = set()
        if target is not None:
            del self._by_address[address]
            self._by_service[target.record.service].remove(target)
            changed.add(target.record.service)
        if record is not None:
            self._add(record, now)
            changed.add(record.service)
        return changed

    def _update_target(
        self,
        target: target_lib.Target,
        record: control_pb2.InstanceRecord,
        now: clock.Millis,
    ) -> set[str]:
        """Updates a target from a newer announcement of the same start."""
        was_near = target.near
        self.begin_cold_start(target, self._remaining_cold_ms(record), now)
        target.update(record)
        self._update_out(target)
        return set() if target.near == was_near else {record.service}

    def _add(
        self, record: control_pb2.InstanceRecord, now: clock.Millis
    ) -> None:
        target = target_lib.Target(
            record,
            self._data_centre,
            self._get_service_work(record.service).saturation,
            preferred_targets.rank_key(self._name, record.address),
            now,
        )
        target.is_leaving = target.incarnation in self._departures
        self._by_address[record.address] = target
        self._by_service.setdefault(record.service, []).append(target)
        self.begin_cold_start(target, self._remaining_cold_ms(record), now)
        self._update_out(target)

    def _update_out(self, target: target_lib.Target) -> None:
        target.is_out = self._view.is_server_out_of_service(
            target.data_centre, target.address
        )

    def _mark_preferred(self, targets: list[target_lib.Target]) -> None:
        preferred = preferred_targets.select(
            {
                target.address: target.rank_key
                for target in targets
                if target.near
            }
        )
        for target in targets:
            # Requests to other data centres are rare, and the bytes sent
            # decide there.
            target.is_preferred = not target.near or target.address in preferred

    def _remaining_cold_ms(
        self, record: control_pb2.InstanceRecord
    ) -> clock.Millis:
        """Returns the remaining cold start at the time the rows were sent."""
        if not record.cold_ms:
            return 0.0
        remaining_ms = record.cold_until_log_ms - self._view.log_ms
        return float(min(record.cold_ms, remaining_ms))

    def begin_cold_start(
        self,
        target: target_lib.Target,
        cold_ms: clock.Millis,
        now: clock.Millis,
    ) -> None:
        """Marks a target as in cold start for some time."""
        if cold_ms > 0:
            target.cold_until = max(target.cold_until, now + cold_ms)

    def _apply_outs(self, view: view_lib.View, now: clock.Millis) -> None:
        """Suspects a cold start of targets that are back in service."""
        outs = {o.data_centre for o in view.outs.values() if not o.address}
        back = self._data_centres_out - outs
        for target in self._by_address.values():
            was_out = target.is_out
            self._update_out(target)
            is_back = was_out and not target.is_out
            if is_back or target.data_centre in back:
                self.suspect_cold_start(target, now)
        self._data_centres_out = outs

    def suspect_cold_start(
        self, target: target_lib.Target, now: clock.Millis
    ) -> None:
        """Treats a target that may have restarted as in cold start."""
        service = self._view.table.get_service(target.record.service)
        if service is not None:
            target.suspected_at = now
            target.suspected_until = now + service.cold_ms

    def record_cold_start(
        self,
        target: target_lib.Target,
        cold_ms: clock.Millis,
        probed_at: clock.Millis,
        now: clock.Millis,
    ) -> None:
        """Records the cold start that a target reported in a probe.

        Args:
            target: The target.
            cold_ms: The remaining time of its cold start; 0 for none.
            probed_at: When the probe was sent.
            now: The time.
        """
        self.begin_cold_start(target, cold_ms, now)
        if probed_at >= target.suspected_at:
            target.suspected_until = float("-inf")

    def health_path(self, target: target_lib.Target) -> str:
        """Returns the path at which a target reports its health."""
        service = self._view.table.get_service(target.record.service)
        return "/" if service is None else service.health_path

    def is_current(self, target: target_lib.Target) -> bool:
        """Returns whether a target is known, in service, and wants requests."""
        known = self._by_address.get(target.address)
        return (
            known is target
            and not target.is_out
            and not target.is_leaving
            and not target.held_ms(self._clock.now())
            and (self.rollouts is None or self.rollouts.may_send(target))
        )

    def record_leaving(self, target: target_lib.Target) -> None:
        """Sends nothing more to this start of a target."""
        target.is_leaving = True
        self._departures.add(target.incarnation)

    def time_to_return_ms(
        self,
        service: str,
        excluded: collections.abc.Container[target_lib.Target],
    ) -> clock.Millis | None:
        """Returns when the first target may get a request.

        Args:
            service: The service.
            excluded: Targets to leave out.

        Returns:
            The time until then, 0 for now; None if there is no target.
        """
        now = self._clock.now()
        return min(
            (
                target.held_ms(now)
                for target in self.get(service)
                if not target.is_leaving
                and not target.is_out
                and target not in excluded
            ),
            default=None,
        )

    def get(self, service: str) -> list[target_lib.Target]:
        """Returns the targets of a service."""
        return self._by_service.get(service, [])

    def has_near_target(self, service: str) -> bool:
        """Returns whether a wait for a target in this data centre is useful.

        One of its targets has to be known, in service, reachable and warm.
        """
        now = self._clock.now()
        return any(self.is_useful(t, now) for t in self.get(service) if t.near)

    def may_leave(self, service: str) -> bool:
        """Returns whether a useful target elsewhere may get a first try."""
        now = self._clock.now()
        return any(
            not target.near and self.is_useful(target, now)
            for target in self._list_in_reach(service, True, None, False)
        )

    def is_useful(self, target: target_lib.Target, now: clock.Millis) -> bool:
        """Returns whether a target is known, in service, reachable and warm."""
        return (
            self.is_current(target)
            and not target.is_down(now)
            and not target.is_cold(now)
        )

    def list_services(self) -> list[str]:
        """Returns the services that have had targets."""
        return list(self._by_service)

    def saturation_factor(self, service: str, now: clock.Millis) -> float:
        """Returns the slowdown of a service's nearly full targets."""
        return self._get_service_work(service).saturation.factor(now)

    def count_running_by_target(self) -> dict[str, int]:
        """Returns how many requests of this entry each target address runs."""
        return {
            target.address: target.running
            for target in self._by_address.values()
            if target.running
        }

    def list_recent_results(self) -> dict[str, gossip_lib.Results]:
        """Returns the results of targets that have failed lately."""
        since = self._clock.now() - SHARE_RESULTS_MS
        return {
            target.address: gossip_lib.Results(
                target.answer_count, target.failure_count
            )
            for target in self._by_address.values()
            if target.failed_at >= since
        }

    def record_peer_results(
        self, address: str, results: gossip_lib.Results
    ) -> None:
        """Records results that another entry had at a target."""
        target = self._by_address.get(address)
        if target is not None:
            target.note_peer_results(
                results.answers, results.failures, self._clock.now()
            )

    def expect_ms(
        self, service: str, route: document_lib.Route
    ) -> clock.Millis:
        """Returns how long a request is expected to take.

        Args:
            service: The service that serves it.
            route: The route that matches it.
        """
        return self.get_work(service, route).expect_ms()

    def slot_interval_ms(
        self, service: str, route: document_lib.Route
    ) -> clock.Millis:
        """Returns the mean time in which one slot of a service comes free.

        While no target is useful, it is that of all when they return.
        """
        now = self._clock.now()
        targets = self.get(service)
        useful = [t for t in targets if self.is_useful(t, now)]
        slots = sum(target.slots for target in useful or targets)
        return self.expect_ms(service, route) / max(1, slots)

    def get_work(
        self, service: str, route: document_lib.Route
    ) -> work_time.WorkTime:
        """Returns the estimated work time of a route at a service."""
        return self._get_service_work(service).get(
            route.host, route.prefix, route.objective_ms
        )

    def _get_service_work(self, service: str) -> work_time.ServiceWork:
        return self._work.setdefault(service, work_time.ServiceWork())

    def rank(
        self,
        service: str,
        route: document_lib.Route,
        excluded: collections.abc.Container[target_lib.Target],
        objective_ms: clock.Millis,
        remaining_ms: clock.Millis,
        demand: placement.Demand,
        include_remote: bool,
        rng: random.Random,
        leaves_to: str | None = None,
        is_resend: bool = False,
    ) -> list[target_lib.Target]:
        """Returns the targets that a request may be sent to, best first.

        Args:
            service: The service of the request.
            route: The route of the request.
            excluded: Targets to leave out.
            objective_ms: Time until the objective is missed.
            remaining_ms: Time until the deadline.
            demand: What the request requires of a target.
            include_remote: Whether to include targets of other data centres.
            rng: Random numbers for the ranking.
            leaves_to: The only data centre whose targets are included; None
                for all.
            is_resend: Whether a target has failed it before.
        """
        now = self._clock.now()
        targets = [
            target
            for target in self._list_in_reach(
                service, include_remote, leaves_to, is_resend
            )
            if not target.is_out
            and target.may_take_more(now)
            and target not in excluded
        ]
        usable = [t for t in targets if not t.is_down(now)]
        if demand is placement.Demand.LAST_RESORT and not usable:
            usable = targets
        typical = self._get_typical(service)
        saturation_factor = self.saturation_factor(service, now)
        work_ms = self.expect_ms(service, route)
        options = [
            self._make_option(
                index, target, work_ms, typical, saturation_factor, now
            )
            for index, target in enumerate(usable)
            if not target.is_cold(now)
            or self._allows_cold_start_send(target, now)
        ]
        ranked = placement.rank(
            options, objective_ms, remaining_ms, demand, include_remote, rng
        )
        return [usable[option.index] for option in ranked]

    def _list_in_reach(
        self,
        service: str,
        include_remote: bool,
        leaves_to: str | None,
        is_resend: bool,
    ) -> list[target_lib.Target]:
        """Returns the targets in the data centres that a request may go to.

        Second tries may go anywhere, as the budget of resends bounds them.
        """
        targets = self.get(service)
        if leaves_to is not None:
            return [t for t in targets if t.data_centre == leaves_to]
        if not include_remote:
            return [t for t in targets if t.near]
        allowed = None
        if (
            self.choice is not None
            and not is_resend
            and self.has_near_target(service)
        ):
            allowed = self.choice.list_allowed(service)
        if allowed is None:
            return targets
        return [t for t in targets if t.near or t.data_centre in allowed]

    def _make_option(
        self,
        index: int,
        target: target_lib.Target,
        work_ms: clock.Millis,
        typical: typical_load.TypicalLoad,
        saturation_factor: float,
        now: clock.Millis,
    ) -> placement.Option:
        is_load_known = target.reports_load is False or target.has_fresh_load(
            now
        )
        likely_running, likely_slowdown = 0.0, 1.0
        if not is_load_known:
            likely_running = typical.occupancy * target.slots
            likely_slowdown = max(
                1.0, typical.slowdown / target.reported_slowdown(now)
            )
        return placement.Option(
            index,
            target.near,
            target.slots,
            saturation.count_useful_slots(target.slots, saturation_factor),
            self._estimate_running(target, now),
            work_ms * target.slowdown(now) * target.reported_slowdown(now),
            target.failures(now),
            is_load_known,
            likely_running,
            likely_slowdown,
            target.is_preferred,
            saturation_factor,
        )

    def is_crowded(self, target: target_lib.Target) -> bool:
        """Returns whether a target is nearly full.

        Counts also requests that were sent but that the last load report of the
        target does not include.
        """
        running = self._estimate_running(target, self._clock.now())
        return running > saturation.count_fast_slots(target.slots)

    def _estimate_running(
        self, target: target_lib.Target, now: clock.Millis
    ) -> float:
        others = self._gossip.running.get(target.address, 0)
        return target.estimate_running(others, now)

    def record_load(
        self, target: target_lib.Target, value: bytes | None
    ) -> None:
        """Records the load header of an answer.

        Args:
            target: The target that answered.
            value: The value of the header; None if there is none.
        """
        load = None if value is None else target_lib.parse_load(value)
        if load is None:
            target.note_no_load()
            return
        target.note_load(load, self._clock.now())
        slots = load.slots or target.slots
        busy = (load.running + load.waiting) / slots
        self._get_typical(target.record.service).record(busy, load.slowdown)

    def _get_typical(self, service: str) -> typical_load.TypicalLoad:
        return self._typical.setdefault(service, typical_load.TypicalLoad())

    def _allows_cold_start_send(
        self, target: target_lib.Target, now: clock.Millis
    ) -> bool:
        """Returns whether a target in cold start may get one more request."""
        service = self._view.table.get_service(target.record.service)
        if service is None or service.cold_per_s is None:
            return target.running == 0
        if target.bucket is None:
            near = [
                entry.name
                for entry in self._view.entries.values()
                if entry.data_centre == target.data_centre
            ]
            senders = cold_start_rate.select_senders(target.address, near)
            per_s = service.cold_per_s / max(1, len(senders))
            if self._name not in senders:
                per_s = 0.0
            target.bucket = cold_start_rate.TokenBucket(per_s, now)
            if not per_s:
                target.bucket.acquire(now)
        return target.bucket.has_token(now)

    def record_start(self, target: target_lib.Target) -> None:
        """Counts a request as running at a target."""
        target.running += 1
        if self.choice is not None:
            self.choice.note_sent(target)
        self.record_send(target)
        self._gossip.schedule_send()

    def record_send(self, target: target_lib.Target) -> None:
        """Counts a request or probe towards the rate limit of a cold start."""
        now = self._clock.now()
        if not target.is_cold(now):
            target.bucket = None
        elif target.bucket is not None:
            target.bucket.acquire(now)

    def record_unanswered(
        self,
        target: target_lib.Target,
        work: work_time.WorkTime,
        waited_ms: clock.Millis,
    ) -> None:
        """Counts a request that is not answered yet as a failure.

        Args:
            target: The target that runs it.
            work: The estimated work time of its route.
            waited_ms: How long ago the request was sent.
        """
        now = self._clock.now()
        target.note_late(work, waited_ms, now)
        target.note_failure(now)
        self._gossip.schedule_send()

    def record_end(self, target: target_lib.Target) -> None:
        """Counts a request as no longer running at a target."""
        target.running -= 1
        self._gossip.schedule_send()

    def dump(self) -> dict[str, typing.Any]:
        """Returns the state of each target for operators."""
        now = self._clock.now()
        return {
            address: {
                "service": target.record.service,
                "instance": target.record.instance,
                "running": target.running,
                "others": self._gossip.running.get(address, 0),
                "slow": round(target.slowdown(now), 2),
                "failures": round(target.failures(now), 2),
                "slow_now": target.reported_slowdown(now),
                "cold": target.is_cold(now),
                "down": target.is_down(now),
                "leaving": target.is_leaving,
                "held_ms": round(target.held_ms(now)),
            }
            for address, target in self._by_address.items()
        }
