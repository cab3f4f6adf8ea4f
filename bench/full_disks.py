"""Fills the disks of control VMs one after another while an operator works.

A disk is full for some seconds, and the next one only once it has room again.
Meanwhile an operator sends one change after the other. A seed draws the order,
what still fits on each full disk, and what happens to its VM meanwhile.
"""

import dataclasses
import json
import random
import threading
import time

from bench import control_logs
from bench import platform as platform_lib

# `ack-ms` of the platform.
ACK_S = 4.0
MIN_FULL_S = 2.0
MAX_FULL_S = 5.0
MAX_PAUSE_S = 0.3
# For how long changes are checked once all disks have room.
AFTER_S = 6.0
CHANGE_PAUSE_S = 0.05
REQUEST_PAUSE_S = 0.05
LARGE_ROUTES = 1836
LETTERS = "abcdefghijklmnopqrstuvwxyz0123456789"
EVACUATION = "/-/evacuations/vannes"
# How many bytes each file of a full disk may still grow to, by name. "part"
# leaves some bytes behind the end of the log.
ROOM = ("none", "hard state", "part", "log as it is")
HARD_STATE_BYTES = 200
PART_BYTES = 500
# What happens to the VM of a full disk.
EVENTS = ("nothing", "kill", "stop", "lose disk", "kill leader")


@dataclasses.dataclass(frozen=True)
class Order:
    """An order of the operator.

    Attributes:
        number: The number of the configuration; 0 for an evacuation.
        sent_at: When it was first sent, on the monotonic clock.
        acked_at: When it was acknowledged.
    """

    number: int
    sent_at: float
    acked_at: float


class Play:
    """One fleet of control VMs and what its operator saw.

    Attributes:
        fleet: The fleet.
        steps: What was done, for the report.
        orders: The acknowledged orders.
        problems: What broke the rules.
    """

    def __init__(self, seed, rounds=1, cores=3, is_forming=False):
        """Creates a play.

        Args:
            seed: What it draws depends on it alone.
            rounds: How often each disk is full.
            cores: The number of control VMs.
            is_forming: Whether the first disk is full before the group has
                formed.
        """
        self.fleet = platform_lib.Fleet(
            fronts=0, cores=cores, limits={"memory-mb": 296, "disk-mb": 256}
        )
        self.steps = []
        self.orders = []
        self.problems = []
        self._rng = random.Random(seed)
        self._rounds = rounds
        self._is_forming = is_forming
        self._is_large = self._rng.random() < 0.5
        self._routes = self._make_routes()
        self._number = 0
        self._ends = threading.Event()
        self._full_until = 0.0

    def _make_routes(self):
        word = lambda n: "".join(self._rng.choices(LETTERS, k=n))  # noqa: E731
        return [
            [word(7), f"{word(6)}.example", f"/{word(8)}/", "safe", 2000]
            + [600, 0, None, 2, "dossier"]
            for _ in range(LARGE_ROUTES if self._is_large else 1)
        ]

    def run(self):
        """Plays; returns the problems."""
        fleet = self.fleet
        try:
            fleet.start()
            operator = threading.Thread(target=self._operate)
            operator.start()
            try:
                if not self._is_forming:
                    self._wait_for_order()
                self._fill_disks()
                time.sleep(AFTER_S)
            finally:
                self._ends.set()
                operator.join()
            self._check_processes()
            self._check_acks()
            self._check_newest("at the end")
            self._restart_all()
            self._check_newest("after a restart of all")
            if self.problems:
                self._add_logs()
        finally:
            fleet.close()
        return self.problems

    def _wait_for_order(self):
        until = time.monotonic() + platform_lib.START_TIMEOUT_S
        while not self.orders and time.monotonic() < until:
            time.sleep(REQUEST_PAUSE_S)

    # The operator.

    def _operate(self):
        is_out = False
        while not self._ends.is_set():
            if self._number and self._rng.random() < 0.2:
                method = "DELETE" if is_out else "POST"
                is_out = not is_out
                self._send(0, method, EVACUATION, None)
            else:
                self._number += 1
                self._routes[0][4] = 2000 + self._number
                config = platform_lib.make_config(
                    self._number, self._number - 1
                )
                config["routes"]["rows"] = self._routes
                raw = json.dumps(config).encode()
                self._send(self._number, "PUT", "/-/config", raw)
            time.sleep(CHANGE_PAUSE_S)

    def _send(self, number, method, path, raw):
        """Sends an order to one VM after the other until it is answered."""
        sent_at = time.monotonic()
        vms = self.fleet.cores
        tries = self._rng.randrange(len(vms))
        while True:
            got = self.fleet.request(
                vms[tries % len(vms)], method, path, raw=raw
            )
            now = time.monotonic()
            if got is not None and got.status_code == 200:
                self.orders.append(Order(number, sent_at, now))
                return
            if got is not None and got.status_code < 500:
                self.problems.append(f"{path} {number}: {got.text}")
                return
            since = max(sent_at, self._full_until)
            if self._ends.is_set() and now - since > ACK_S:
                self.problems.append(f"{path} {number} is not acknowledged")
                return
            tries += 1
            time.sleep(REQUEST_PAUSE_S)

    # The disks.

    def _fill_disks(self):
        for _ in range(self._rounds):
            order = list(self.fleet.cores)
            self._rng.shuffle(order)
            for vm in order:
                self._fill_disk(vm)

    def _fill_disk(self, vm):
        room = self._rng.choice(ROOM)
        event = self._rng.choice(EVENTS)
        seconds = self._rng.uniform(MIN_FULL_S, MAX_FULL_S)
        self._full_until = float("inf")
        self.steps.append(f"{vm.name}: room {room}, {event}, {seconds:.1f} s")
        vm.set_file_limit(self._measure_room(vm, room))
        time.sleep(seconds / 2)
        self._disturb(vm, event)
        time.sleep(seconds / 2)
        vm.set_file_limit(None)
        self._full_until = time.monotonic()
        time.sleep(self._rng.uniform(0, MAX_PAUSE_S))

    def _measure_room(self, vm, room):
        try:
            size = (vm.folder / "data" / "log").stat().st_size
        except FileNotFoundError:
            size = 0
        return {
            "none": 0,
            "hard state": HARD_STATE_BYTES,
            "part": size + PART_BYTES,
            "log as it is": size,
        }[room]

    def _disturb(self, vm, event):
        if event == "nothing":
            return
        if event == "kill leader":
            vm = self._find_leader()
        if event == "lose disk" and self._is_forming:
            # An empty folder before the group has formed is replaced by none.
            event = "kill"
        if event == "stop":
            vm.process.terminate()
            vm.process.wait(20)
        else:
            vm.kill()
        if event == "lose disk":
            vm.lose_disk()
        vm.start()

    def _find_leader(self):
        def led_at(vm):
            lines = [x for x in vm.log().splitlines() if "became leader" in x]
            return json.loads(lines[-1])["time"] if lines else ""

        return max(self.fleet.cores, key=led_at)

    # Checks.

    def _check_processes(self):
        for vm in self.fleet.cores:
            if vm.process.poll() is not None:
                self.problems.append(f"{vm.name} has ended\n{vm.log()[-2000:]}")

    def _check_acks(self):
        """Checks the acknowledgements of orders with room on all disks."""
        for order in self.orders:
            since = max(order.sent_at, self._full_until)
            if order.acked_at - since > ACK_S:
                late_s = order.acked_at - since
                self.problems.append(f"{order} was late: {late_s:.1f} s")
        if not any(o.sent_at > self._full_until for o in self.orders):
            self.problems.append("no order after the last disk had room")

    def _check_newest(self, when):
        newest = max((order.number for order in self.orders), default=0)
        for vm in self.fleet.cores:
            until = time.monotonic() + 15
            while (version := self._read_version(vm)) != newest:
                # A change without a clear answer may be in force.
                if version is not None and version > newest:
                    break
                if time.monotonic() > until:
                    self.problems.append(
                        f"{vm.name} {when}: {version}, acknowledged: {newest}\n"
                        + self.fleet.describe(vm)
                    )
                    break
                time.sleep(0.1)

    def _add_logs(self):
        for vm in self.fleet.cores:
            self.problems += control_logs.find_notable(vm.folder / "log")

    def _read_version(self, vm):
        got = self.fleet.request(vm, "GET", "/-/config")
        if got is None or got.status_code != 200:
            return None
        return int(got.json()["version"], 16)

    def _restart_all(self):
        for vm in self.fleet.cores:
            vm.kill()
        for vm in self.fleet.cores:
            vm.start()
