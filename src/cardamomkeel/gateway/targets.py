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
from cardamomkeel.policy import incarnations
from cardamomkeel.policy import placement
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
# One answer moves the mean by no more than this multiple of it.
MOST_ONE_ANSWER = 1.5
# How long work takes before anything is measured.
FIRST_WORK_MS = 100.0

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


class Work:
    """How long requests of one service take, over all targets."""

    def __init__(self):
        self.mean_ms = 0.0

    def note(self, took_ms: clock.Millis) -> None:
        """Counts an answer."""
        if not self.mean_ms:
            self.mean_ms = took_ms
        self.mean_ms += LATENCY_SHARE / 3 * (took_ms - self.mean_ms)

    def expect_ms(self) -> clock.Millis:
        """Returns how long a request is expected to take."""
        return self.mean_ms or FIRST_WORK_MS


class Target:
    """One start of a backend server, as this entry sees it.

    Attributes:
        record: What it announced.
        near: Whether it is in the data centre of this entry.
        running: How many requests of this entry run there.
        cold_until: When its cold start ends, on the local clock.
    """

    def __init__(
        self,
        record: control_pb2.InstanceRecord,
        near: bool,
        work: Work,
        now: clock.Millis,
    ):
        self.record = record
        self.near = near
        self.running = 0
        self.cold_until = float("-inf")
        self.bucket: cold_rate.Bucket | None = None
        self._work = work
        self._slow = 1.0
        self._failures = 0.0
        self._learned_at = now
        self._down_until = float("-inf")
        self._down_ms = 0.0
        self._load: Load | None = None
        self._load_at = float("-inf")
        # Whether its answers tell its load; None before the first.
        self.tells_load: bool | None = None
        # What it told is not asked for twice at the same time.
        self.asked: asyncio.Future | None = None

    @property
    def address(self) -> str:
        """Host and port."""
        return self.record.address

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
        """Tells whether it is in cold start."""
        return now < self.cold_until

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
        told = (self._load.running + self._load.waiting) * left
        return max(known, told)

    def is_fresh(self, now: clock.Millis) -> bool:
        """Tells whether it said a moment ago how busy it is."""
        return now - self._load_at <= LOAD_FRESH_MS

    def slow_now(self, now: clock.Millis) -> float:
        """Returns what it said last of how long work takes there now."""
        if self._load is None or now - self._load_at > SLOW_KEEP_MS:
            return 1.0
        return self._load.slow

    def work_ms(self, now: clock.Millis) -> clock.Millis:
        """Returns how long a request is expected to take there."""
        return self._work.expect_ms() * self.slow(now) * self.slow_now(now)

    def note_answer(
        self, took_ms: clock.Millis, slow: float, now: clock.Millis
    ) -> None:
        """Counts an answer of the target's own.

        Args:
            took_ms: How long it took.
            slow: What it had said of how long work takes, when it was sent.
            now: The time.
        """
        expected = self._work.expect_ms()
        took_ms /= max(1.0, slow)
        ratio = min(MOST_SLOW, max(0.2, took_ms / expected))
        self._work.note(min(took_ms, expected * MOST_ONE_ANSWER))
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
        """Takes what the target said of its load."""
        self.tells_load = True
        self._load = load
        self._load_at = now


def take_load(target: Target, value: bytes | None, now: clock.Millis) -> None:
    """Takes what an answer of a target tells of its load, if it does."""
    load = None if value is None else parse_load(value)
    if load is not None:
        target.note_load(load, now)
    elif target.tells_load is None:
        target.tells_load = False


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
        self._work: dict[str, Work] = {}
        self._outs: set[str] = set()
        self._view: view_lib.View | None = None

    def follow(self, view: view_lib.View) -> None:
        """Takes a changed view over."""
        now = self._clock.now()
        self._view = view
        usable = {
            address: record
            for address, record in view.instances.items()
            if record.state == incarnations.READY
        }
        for address in set(self._by_address) - set(usable):
            del self._by_address[address]
        for address, record in usable.items():
            self._take(address, record, now)
        self._follow_outs(view, now)
        self._by_service = {}
        for target in self._by_address.values():
            service = target.record.service
            self._by_service.setdefault(service, []).append(target)

    def _take(
        self, address: str, record: control_pb2.InstanceRecord, now
    ) -> None:
        known = self._by_address.get(address)
        if known is None or not incarnations.is_same_start(
            known.record, record
        ):
            near = record.data_centre == self._data_centre
            work = self._work.setdefault(record.service, Work())
            known = self._by_address[address] = Target(record, near, work, now)
            self.begin_cold(known, self._cold_left(record), now)
        elif known.record is not record:
            self.begin_cold(known, self._cold_left(record), now)
            known.record = record

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
        outs = {out.data_centre for out in view.outs.values()}
        for back in self._outs - outs:
            for target in self._by_address.values():
                if target.record.data_centre == back:
                    self.suspect_cold(target, now)
        self._outs = outs

    def suspect_cold(self, target: Target, now: clock.Millis) -> None:
        """Counts a target that may have started anew as in cold start."""
        service = self._view.table.get_service(target.record.service)
        if service is not None:
            self.begin_cold(target, service.cold_ms, now)

    def health_path(self, target: Target) -> str:
        """Returns where a target tells its health."""
        service = self._view.table.get_service(target.record.service)
        return "/" if service is None else service.health_path

    def is_current(self, target: Target) -> bool:
        """Tells whether a target may still be sent to."""
        record = target.record
        return self._by_address.get(
            record.address
        ) is target and not self._view.is_data_centre_out(record.data_centre)

    def get(self, service: str) -> list[Target]:
        """Returns the targets of a service."""
        return self._by_service.get(service, [])

    def has_near(self, service: str) -> bool:
        """Tells whether a target in this data centre may be sent to."""
        now = self._clock.now()
        return any(
            target.near and self.is_current(target) and not target.is_down(now)
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
        work = self._work.get(service)
        return FIRST_WORK_MS if work is None else work.expect_ms()

    def rank(
        self,
        service: str,
        without: collections.abc.Container[Target],
        objective_ms: clock.Millis,
        left_ms: clock.Millis,
        relaxed: bool,
        far: bool,
        rng: random.Random,
    ) -> list[Target]:
        """Returns the targets that a request may be sent to, best first."""
        now = self._clock.now()
        targets = [
            target
            for target in self.get(service)
            if target not in without and self.is_current(target)
        ]
        usable = [t for t in targets if not t.is_down(now)]
        if relaxed and not usable:
            usable = targets
        options = [
            self._make_option(index, target, now)
            for index, target in enumerate(usable)
            if not target.is_cold(now) or self._bears_more(target, now)
        ]
        ranked = placement.rank(
            options, objective_ms, left_ms, relaxed, far, rng
        )
        return [usable[option.index] for option in ranked]

    def _make_option(
        self, index: int, target: Target, now: clock.Millis
    ) -> placement.Option:
        others = self._gossip.running.get(target.address, 0)
        return placement.Option(
            index,
            target.near,
            max(1, target.record.slots),
            target.estimate_running(others, now),
            target.work_ms(now),
            target.failures(now),
        )

    def _bears_more(self, target: Target, now: clock.Millis) -> bool:
        """Tells whether a target in cold start may get one more request."""
        service = self._view.table.get_service(target.record.service)
        if service is None or service.cold_per_s is None:
            return target.running == 0
        if target.bucket is None:
            near = [
                entry.name
                for entry in self._view.entries.values()
                if entry.data_centre == target.record.data_centre
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
        now = self._clock.now()
        if target.is_cold(now) and target.bucket is not None:
            target.bucket.take(now)
        elif not target.is_cold(now):
            target.bucket = None
        self._gossip.note_change()

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
