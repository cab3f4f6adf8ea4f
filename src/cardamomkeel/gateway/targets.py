"""What an entry knows of each target that it may send to."""

import asyncio
import collections.abc
import dataclasses
import random
import typing

import loguru

from cardamomkeel import clock
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.policy import cold_rate
from cardamomkeel.policy import crowding
from cardamomkeel.policy import familiar
from cardamomkeel.policy import incarnations
from cardamomkeel.policy import placement
from cardamomkeel.policy import typical_load
from cardamomkeel.policy import work_time
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

# How fast averages follow what is measured, per answer.
LATENCY_SHARE = 0.15
FAILURE_SHARE = 0.3
# What was learned of a slow or failing target halves in this time unused, so
# that it is tried again.
FORGET_HALF_MS = 2000.0
# How much slower than its service one target may count at the most.
MOST_SLOW = 10.0
# How long an unreachable target is left alone, doubling up to the second.
DOWN_LEAST_MS = 200.0
DOWN_MOST_MS = 1600.0
# What a target says of its load is worth something for so long.
LOAD_KEEP_MS = 300.0
# Load shifts within some hundred milliseconds: what was said in the last of
# these is relied on, and a slow target counts as slow for the second.
LOAD_FRESH_MS = 25.0
SLOW_KEEP_MS = 100.0

logger = loguru.logger


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """How busy a target said it was.

    Attributes:
        running: Requests that ran.
        waiting: Requests that waited.
        slots: Requests that it runs at a time; 0 where it did not say.
        slow: How long work takes there as a share of the usual.
    """

    running: int
    waiting: int
    slots: int = 0
    slow: float = 1.0


def parse_load(value: bytes) -> Load | None:
    """Reads running, waiting, slots and percent of the usual work time."""
    try:
        parts = [int(part) for part in value.split(b",")]
    except ValueError:
        return None
    if len(parts) < 2 or min(parts) < 0:
        return None
    slots = parts[2] if len(parts) > 2 else 0
    slow = parts[3] / 100 if len(parts) > 3 and parts[3] else 1.0
    return Load(parts[0], parts[1], slots, slow)


class Target:
    """One start of a backend server, as this entry sees it.

    Attributes:
        record: What it announced.
        address: Host and port.
        data_centre: Where it runs.
        slots: How many requests it runs at a time.
        near: Whether it is in the data centre of this entry.
        is_out: Whether operators have taken it out of service.
        is_familiar: Whether this entry turns to it as a rule.
        place: Where it stands among those that this entry turns to.
        running: How many requests of this entry run there.
        cold_until: When its cold start ends, on the local clock.
        suspected_at: When something last told that it may have started anew.
        suspected_until: Until when it counts as in cold start for that.
    """

    def __init__(
        self,
        record: control_pb2.InstanceRecord,
        own_data_centre: str,
        work: work_time.WorkTime,
        place: bytes,
        now: clock.Millis,
    ):
        self.place = place
        self._own_data_centre = own_data_centre
        self.is_out = False
        self.is_familiar = True
        self.follow(record)
        self.running = 0
        self.cold_until = float("-inf")
        self.suspected_at = float("-inf")
        self.suspected_until = float("-inf")
        self.bucket: cold_rate.Bucket | None = None
        self._work = work
        self._slow = 1.0
        self._failures = 0.0
        self._learned_at = now
        self._down_until = float("-inf")
        self._down_ms = 0.0
        self._load: Load | None = None
        self._load_at = float("-inf")
        self._running_then = 0
        # Whether its answers tell its load; None before the first.
        self.tells_load: bool | None = None
        # What it told is not asked for twice at the same time.
        self.asked: asyncio.Future | None = None

    def follow(self, record: control_pb2.InstanceRecord) -> None:
        """Takes over what it announced last."""
        self.record = record
        # Each request reads these of every target; a row is slow to read.
        self.address = record.address
        self.data_centre = record.data_centre
        self.slots = max(1, record.slots)
        self.near = record.data_centre == self._own_data_centre

    def _fade(self, now: clock.Millis) -> float:
        return 0.5 ** ((now - self._learned_at) / FORGET_HALF_MS)

    def failures(self, now: clock.Millis) -> float:
        """Returns the share of requests that failed lately."""
        return self._failures * self._fade(now)

    def slow(self, now: clock.Millis) -> float:
        """Returns how long work takes as a multiple of the service's mean."""
        return 1 + (self._slow - 1) * self._fade(now)

    def is_down(self, now: clock.Millis) -> bool:
        """Tells whether it was unreachable a moment ago."""
        return now < self._down_until

    def was_down(self) -> bool:
        """Tells whether it has not answered since it was unreachable."""
        return self._down_ms > 0

    def is_cold(self, now: clock.Millis) -> bool:
        """Tells whether it is in cold start, or may be."""
        return now < max(self.cold_until, self.suspected_until)

    def is_suspected(self, now: clock.Millis) -> bool:
        """Tells whether it may be in cold start, and can say so itself."""
        return self.cold_until <= now < self.suspected_until

    def estimate_running(self, others: int, now: clock.Millis) -> float:
        """Returns how many requests run there.

        Args:
            others: Requests of the entries near this one.
            now: The time.
        """
        known = self.running + others
        if self._load is None or now - self._load_at > LOAD_KEEP_MS:
            return known
        left = 1 - (now - self._load_at) / LOAD_KEEP_MS
        told = self._load.running + self._load.waiting
        # What this entry has sent since, or got an answer to, is known.
        told += self.running - self._running_then
        return max(known, told * left)

    def is_fresh(self, now: clock.Millis) -> bool:
        """Tells whether it said a moment ago how busy it is."""
        return now - self._load_at <= LOAD_FRESH_MS

    def slow_now(self, now: clock.Millis) -> float:
        """Returns what it said last of how long work takes there now."""
        if self._load is None or now - self._load_at > SLOW_KEEP_MS:
            return 1.0
        return self._load.slow

    def useful_slots(self, now: clock.Millis) -> int:
        """Returns with how many slots in use it answers most."""
        return self._work.crowding.count_useful(self.slots, now)

    def crowded_factor(self, now: clock.Millis) -> float:
        """Returns how much longer work takes where it is nearly full."""
        return self._work.crowding.factor(now)

    def work_ms(self, now: clock.Millis) -> clock.Millis:
        """Returns how long a request is expected to take there."""
        return self._work.expect_ms() * self.slow(now) * self.slow_now(now)

    def note_answer(
        self,
        took_ms: clock.Millis,
        slow: float,
        crowded: bool,
        now: clock.Millis,
    ) -> None:
        """Counts an answer of the target's own.

        Args:
            took_ms: How long it took.
            slow: What it had said of how long work takes, when it was sent.
            crowded: Whether it was nearly full then.
            now: The time.
        """
        expected = self._work.expect_ms()
        took_ms /= max(1.0, slow)
        if crowded and self._work.is_known():
            self._work.crowding.note(took_ms, expected, now)
            took_ms /= self._work.crowding.factor(now)
        else:
            self._work.note(took_ms)
        ratio = min(MOST_SLOW, max(0.2, took_ms / expected))
        slow = self.slow(now)
        self._failures = self.failures(now) * (1 - FAILURE_SHARE)
        self._slow = slow + LATENCY_SHARE * (ratio - slow)
        self._learned_at = now
        self._down_ms = 0.0

    def note_failure(self, now: clock.Millis) -> None:
        """Counts a request that failed there."""
        slow = self.slow(now)
        before = self.failures(now)
        self._failures = before + FAILURE_SHARE * (1 - before)
        self._slow = slow
        self._learned_at = now

    def note_late(self, waited_ms: clock.Millis, now: clock.Millis) -> None:
        """Counts an answer that has not come yet."""
        ratio = min(MOST_SLOW, waited_ms / self._work.expect_ms())
        self._slow = max(self.slow(now), ratio)
        self._failures = self.failures(now)
        self._learned_at = now

    def note_down(self, now: clock.Millis) -> None:
        """Leaves an unreachable target alone for a while."""
        if self.is_down(now):
            return
        doubled = max(DOWN_LEAST_MS, 2 * self._down_ms)
        self._down_ms = min(DOWN_MOST_MS, doubled)
        self._down_until = now + self._down_ms

    def note_mute(self, now: clock.Millis) -> None:
        """Leaves a target alone that does not say how busy it is."""
        self.note_failure(now)
        self.note_down(now)

    def note_load(self, load: Load, now: clock.Millis) -> None:
        """Takes what the target said of its load.

        What it says with an answer counts the request that it answers.
        """
        self.tells_load = True
        self._load = load
        self._load_at = now
        self._running_then = self.running

    def note_no_load(self) -> None:
        """Counts an answer that says nothing of load."""
        if self.tells_load is None:
            self.tells_load = False


class Targets:
    """All targets, by address, as the view tells of them."""

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
        self._by_address: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        self._work: dict[str, work_time.WorkTime] = {}
        self._typical: dict[str, typical_load.TypicalLoad] = {}
        self._outs: set[str] = set()
        # The number of the routes that were followed last.
        self._routes = 0
        self._view: view_lib.View | None = None

    def follow(self, view: view_lib.View, changes: view_lib.Changes) -> None:
        """Takes a changed view over.

        Args:
            view: The rows as they are.
            changes: Which of them have changed since the last call.
        """
        now = self._clock.now()
        self._view = view
        self._follow_routes(view)
        addresses = changes.instances
        if changes.whole:
            addresses = view.instances.keys() | self._by_address.keys()
        changed = set()
        for address in addresses:
            changed |= self._follow_instance(address, now)
        if changes.whole or changes.outs:
            self._follow_outs(view, now)
        for service in changed:
            self._pick_familiar(self.get(service))

    def _follow_instance(self, address: str, now: clock.Millis) -> set[str]:
        """Takes over what is known of one address.

        Returns:
            The services of which other targets may be near now.
        """
        known = self._by_address.get(address)
        record = self._view.instances.get(address)
        if record is not None and record.state != incarnations.READY:
            record = None
        if known is not None and record is not None:
            if known.record is record:
                return set()
            if incarnations.is_same_start(known.record, record):
                return self._take_news(known, record, now)
        changed = set()
        if known is not None:
            del self._by_address[address]
            self._by_service[known.record.service].remove(known)
            changed.add(known.record.service)
        if record is not None:
            self._add(record, now)
            changed.add(record.service)
        return changed

    def _take_news(
        self,
        known: Target,
        record: control_pb2.InstanceRecord,
        now: clock.Millis,
    ) -> set[str]:
        """Takes over what one start of a target says of itself now."""
        was_near = known.near
        self.begin_cold(known, self._cold_left(record), now)
        known.follow(record)
        self._note_out(known)
        return set() if known.near == was_near else {record.service}

    def _add(
        self, record: control_pb2.InstanceRecord, now: clock.Millis
    ) -> None:
        target = Target(
            record,
            self._data_centre,
            self._get_work(record.service),
            familiar.place(self._name, record.address),
            now,
        )
        self._by_address[record.address] = target
        self._by_service.setdefault(record.service, []).append(target)
        self.begin_cold(target, self._cold_left(record), now)
        self._note_out(target)

    def _note_out(self, target: Target) -> None:
        target.is_out = self._view.is_server_out(
            target.data_centre, target.address
        )

    def _pick_familiar(self, targets: list[Target]) -> None:
        chosen = familiar.pick(
            {target.address: target.place for target in targets if target.near}
        )
        for target in targets:
            # Those of other data centres are rare, and bytes decide there.
            target.is_familiar = not target.near or target.address in chosen

    def _cold_left(self, record: control_pb2.InstanceRecord) -> clock.Millis:
        """Returns how long a cold start lasts from when rows were sent."""
        if not record.cold_ms:
            return 0.0
        left_ms = record.cold_until_log_ms - self._view.log_ms
        return float(min(record.cold_ms, left_ms))

    def begin_cold(
        self, target: Target, cold_ms: clock.Millis, now: clock.Millis
    ) -> None:
        """Counts a target as in cold start for some time."""
        if cold_ms > 0:
            target.cold_until = max(target.cold_until, now + cold_ms)

    def _follow_outs(self, view: view_lib.View, now: clock.Millis) -> None:
        """Counts targets that come back into service as in cold start."""
        outs = {o.data_centre for o in view.outs.values() if not o.address}
        back = self._outs - outs
        for target in self._by_address.values():
            was_out = target.is_out
            self._note_out(target)
            is_back = was_out and not target.is_out
            if is_back or target.data_centre in back:
                self.suspect_cold(target, now)
        self._outs = outs

    def suspect_cold(self, target: Target, now: clock.Millis) -> None:
        """Counts a target that may have started anew as in cold start."""
        service = self._view.table.get_service(target.record.service)
        if service is not None:
            target.suspected_at = now
            target.suspected_until = now + service.cold_ms

    def note_cold_told(
        self,
        target: Target,
        cold_ms: clock.Millis,
        asked_at: clock.Millis,
        now: clock.Millis,
    ) -> None:
        """Takes what a target itself said of its cold start.

        Args:
            target: The target.
            cold_ms: How long its cold start lasts yet; 0 for not at all.
            asked_at: When it was asked.
            now: The time.
        """
        self.begin_cold(target, cold_ms, now)
        if asked_at >= target.suspected_at:
            target.suspected_until = float("-inf")

    def health_path(self, target: Target) -> str:
        """Returns where a target tells its health."""
        service = self._view.table.get_service(target.record.service)
        return "/" if service is None else service.health_path

    def is_current(self, target: Target) -> bool:
        """Tells whether a target may still be sent to."""
        known = self._by_address.get(target.address)
        return known is target and not target.is_out

    def get(self, service: str) -> list[Target]:
        """Returns the targets of a service."""
        return self._by_service.get(service, [])

    def has_near(self, service: str) -> bool:
        """Tells whether a target in this data centre is worth a wait."""
        now = self._clock.now()
        return any(
            target.near
            and self.is_current(target)
            and not target.is_down(now)
            and not target.is_cold(now)
            for target in self.get(service)
        )

    def list_running(self) -> dict[str, int]:
        """Returns how many requests of this entry run, by address."""
        return {
            target.address: target.running
            for target in self._by_address.values()
            if target.running
        }

    def expect_ms(self, service: str) -> clock.Millis:
        """Returns how long a request of a service is expected to take."""
        return self._get_work(service).expect_ms()

    def _get_work(self, service: str) -> work_time.WorkTime:
        return self._work.setdefault(service, work_time.WorkTime())

    def _follow_routes(self, view: view_lib.View) -> None:
        """Takes over what the objectives of new routes tell of work."""
        if view.table.number == self._routes:
            return
        self._routes = view.table.number
        for service, objective_ms in view.table.list_objectives().items():
            self._get_work(service).guess(objective_ms)

    def rank(
        self,
        service: str,
        without: collections.abc.Container[Target],
        objective_ms: clock.Millis,
        left_ms: clock.Millis,
        demand: placement.Demand,
        far: bool,
        rng: random.Random,
    ) -> list[Target]:
        """Returns the targets that a request may be sent to, best first."""
        now = self._clock.now()
        targets = [
            target
            for target in self.get(service)
            if (far or target.near)
            and not target.is_out
            and target not in without
        ]
        usable = [t for t in targets if not t.is_down(now)]
        if demand is placement.Demand.LAST and not usable:
            usable = targets
        typical = self._get_typical(service)
        options = [
            self._make_option(index, target, typical, now)
            for index, target in enumerate(usable)
            if not target.is_cold(now) or self._bears_more(target, now)
        ]
        ranked = placement.rank(
            options, objective_ms, left_ms, demand, far, rng
        )
        return [usable[option.index] for option in ranked]

    def _make_option(
        self,
        index: int,
        target: Target,
        typical: typical_load.TypicalLoad,
        now: clock.Millis,
    ) -> placement.Option:
        others = self._gossip.running.get(target.address, 0)
        is_asked = target.tells_load is False or target.is_fresh(now)
        likely_running, likely_slow = 0.0, 1.0
        if not is_asked:
            likely_running = typical.busy * target.slots
            likely_slow = max(1.0, typical.slow / target.slow_now(now))
        return placement.Option(
            index,
            target.near,
            target.slots,
            target.useful_slots(now),
            target.estimate_running(others, now),
            target.work_ms(now),
            target.failures(now),
            is_asked,
            likely_running,
            likely_slow,
            target.is_familiar,
            target.crowded_factor(now),
        )

    def is_crowded(self, target: Target) -> bool:
        """Tells whether a target is nearly full, with what is sent to it."""
        others = self._gossip.running.get(target.address, 0)
        running = target.estimate_running(others, self._clock.now())
        return running > crowding.count_fast(target.slots)

    def take_load(self, target: Target, value: bytes | None) -> None:
        """Takes what an answer of a target tells of its load, if it does."""
        load = None if value is None else parse_load(value)
        if load is None:
            target.note_no_load()
            return
        target.note_load(load, self._clock.now())
        slots = load.slots or target.slots
        busy = (load.running + load.waiting) / slots
        self._get_typical(target.record.service).note(busy, load.slow)

    def _get_typical(self, service: str) -> typical_load.TypicalLoad:
        return self._typical.setdefault(service, typical_load.TypicalLoad())

    def _bears_more(self, target: Target, now: clock.Millis) -> bool:
        """Tells whether a target in cold start may get one more request."""
        service = self._view.table.get_service(target.record.service)
        if service is None or service.cold_per_s is None:
            return target.running == 0
        if target.bucket is None:
            near = [
                entry.name
                for entry in self._view.entries.values()
                if entry.data_centre == target.data_centre
            ]
            senders = cold_rate.pick_senders(target.address, near)
            per_s = service.cold_per_s / max(1, len(senders))
            if self._name not in senders:
                per_s = 0.0
            target.bucket = cold_rate.Bucket(per_s, now)
            if not per_s:
                target.bucket.take(now)
        return target.bucket.has(now)

    def begin(self, target: Target) -> None:
        """Counts a request that is sent to a target."""
        target.running += 1
        self.note_arrival(target)
        self._gossip.note_change()

    def note_arrival(self, target: Target) -> None:
        """Counts what is sent to a target toward the rate of its cold start."""
        now = self._clock.now()
        if not target.is_cold(now):
            target.bucket = None
        elif target.bucket is not None:
            target.bucket.take(now)

    def end(self, target: Target) -> None:
        """Counts a request that is over."""
        target.running -= 1
        self._gossip.note_change()

    def dump(self) -> dict[str, typing.Any]:
        """Returns what is known of each target."""
        now = self._clock.now()
        return {
            address: {
                "service": target.record.service,
                "instance": target.record.instance,
                "running": target.running,
                "others": self._gossip.running.get(address, 0),
                "slow": round(target.slow(now), 2),
                "failures": round(target.failures(now), 2),
                "slow_now": target.slow_now(now),
                "cold": target.is_cold(now),
                "down": target.is_down(now),
            }
            for address, target in self._by_address.items()
        }
