"""Steps about reports between entries, without a network."""

import heapq
import itertools
import random
import time

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.gateway import data_centre_choice
from cardamomkeel.gateway import data_centre_reports
from cardamomkeel.policy import room as room_lib

PLACES = ("agadir", "taroudant", "tiznit")
SERVICES = ("guichet-membre", "bibliotheque")
# Headers of IP and UDP in each datagram.
HEADER_BYTES = 28


def make_figures():
    return data_centre_reports.Figures(
        3500, 700, 900, 12000, 650, 800, 3300, 90, dict.fromkeys(PLACES, 2)
    )


class _Network:
    """Entries that exchange reports in virtual time."""

    def __init__(self, count, lost_share):
        self.clock = clock.ManualClock(1000.0)
        self.rng = random.Random(3)
        self.lost_share = lost_share
        self.events, self.order = [], itertools.count()
        self.entries, self.by_address, self.rows = {}, {}, {}
        self.sent = {}
        self.lost = []
        self.cpu_s = 0.0
        self.add(count)
        self.plan()

    def add(self, count):
        first = len(self.rows)
        for number in range(first, first + count):
            name, place = f"front-{number}", PLACES[number % len(PLACES)]
            self.sent[number] = 0
            self.rows[name] = (place, f"10.0.{number // 200}.{number % 200}:7")
            host = self.rows[name][1].rpartition(":")[0]
            self.entries[name] = self.by_address[(host, 7)] = (
                data_centre_reports.DataCentreReports(
                    name, place, self.carrier(number), self.clock
                )
            )
            delay_ms = self.rng.uniform(0, data_centre_choice.INTERVAL_MS)
            self.at(delay_ms, self.tick, name)

    def plan(self):
        for entry in self.entries.values():
            entry.set_entries(self.rows)

    def carrier(self, number):
        def send(data, address):
            self.sent[number] += len(data) + HEADER_BYTES
            if self.rng.random() >= self.lost_share:
                self.at(1.0, self.receive, address, data)

        return send

    def receive(self, address, data):
        entry = self.by_address[address]
        if entry in self.entries.values():
            entry.receive(data)

    def at(self, delay_ms, call, *args):
        when_ms = self.clock.now() + delay_ms
        heapq.heappush(self.events, (when_ms, next(self.order), call, args))

    def tick(self, name):
        if name in self.entries:
            figures = {service: make_figures() for service in SERVICES}
            slots = dict.fromkeys(SERVICES, 120)
            self.entries[name].send(figures, lambda: slots)
            self.at(data_centre_choice.INTERVAL_MS, self.tick, name)

    def run(self, seconds):
        until = self.clock.now() + seconds * 1000.0
        while self.events and self.events[0][0] < until:
            when_ms, _, call, args = heapq.heappop(self.events)
            self.clock.advance(when_ms - self.clock.now())
            began = time.process_time()
            call(*args)
            self.cpu_s += time.process_time() - began
        self.clock.advance(until - self.clock.now())


@given("{count:d} entries whose reports are lost in {lost:d} of 100 cases")
def make_network(context, count, lost):
    context.network = _Network(count, lost / 100)


@when("each reports 2 services for {seconds:d} s")
def report(context, seconds):
    network = context.network
    network.sent = dict.fromkeys(network.sent, 0)
    network.cpu_s = 0.0
    network.run(seconds)
    rates = sorted(sent / seconds for sent in network.sent.values())
    count = len(rates)
    print(
        f"{count} entries: {sum(rates) / count:.0f} bytes/s, most "
        f"{rates[-1]:.0f}; {1000 * network.cpu_s / seconds / count:.2f} ms/s"
    )


@then("each knows the sums of all data centres, at most {most:d} ms old")
def check_known(context, most):
    now = context.network.clock.now()
    for name, entry in context.network.entries.items():
        ages = {p: now - known.measured_at for p, known in entry.known.items()}
        assert ages.keys() == set(PLACES), (name, ages)
        assert max(ages.values()) <= most, (name, ages)


@then("none sends more than {most:d} bytes a second")
def check_bytes(context, most):
    assert max(context.network.sent.values()) / 10 <= most


@when("a summing entry is lost")
def lose_summing(context):
    network = context.network
    name = next(n for n, e in network.entries.items() if e.is_summing)
    if network.lost:
        place = network.rows[network.lost[0]][0]
        name = next(
            n
            for n, e in network.entries.items()
            if e.is_summing and network.rows[n][0] == place
        )
    network.lost.append(name)
    del network.entries[name]


@then("no other entry of its data centre knows room elsewhere")
def check_out_of_date(context):
    network = context.network
    place = network.rows[network.lost[0]][0]
    now = network.clock.now()
    for name, entry in network.entries.items():
        if network.rows[name][0] == place:
            for known in entry.known.values():
                assert now - known.measured_at > room_lib.MAX_AGE_MS


@when("control has removed the lost entries")
def remove_lost(context):
    for name in context.network.lost:
        del context.network.rows[name]
    context.network.plan()


@when("{count:d} entries are added, of which the others hear 600 ms later")
def add_entries(context, count):
    network = context.network
    network.add(count)
    for name in list(network.entries)[-count:]:
        network.entries[name].set_entries(network.rows)
    network.at(600.0, network.plan)


@then("no sums of fewer than {least:d} entries are used for {seconds:d} s")
def check_whole(context, least, seconds):
    network = context.network
    for _ in range(seconds * 10):
        network.run(0.1)
        for name, entry in network.entries.items():
            for place, known in entry.known.items():
                if network.clock.now() - known.measured_at < 1000.0:
                    arrivals = known.services[SERVICES[0]].arrivals
                    assert arrivals >= least * 3500, (name, place, arrivals)
