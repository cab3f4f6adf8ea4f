"""Plays the entries' decisions on one account's limit without a network.

Entries are objects; messages take drawn times and get lost. A play has one
account, a rush, and one fault. `python -m bench.quota_plays 1000` prints the
worst windows and the shares served.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
import sys

from cardamomkeel import clock
from cardamomkeel.accounts import quota_asker
from cardamomkeel.accounts import quota_keeper
from cardamomkeel.accounts import quota_messages as messages
from cardamomkeel.policy import quota
from cardamomkeel.policy import quota_keepers

ENTRIES = 142
DATA_CENTRES = 4
ACCOUNT = "the-account"
FAULTS = ("none", "lost", "cut", "frozen", "restarted", "leaderless", "zone")
LEASE_MS = 2000.0
LEADERLESS_MS = 8000.0
WARM_MS = 12_000.0
PLAY_MS = 30_000.0
BOUNDS = quota.Bounds()


@dataclasses.dataclass
class Limit:
    """An account with a limit."""

    rate_per_s: float
    burst: float


class Entry:
    """One entry, and the state of its VM."""

    def __init__(self, play, number):
        self.play = play
        self.name = f"entry-{number}"
        self.data_centre = f"dc-{number % DATA_CENTRES}"
        self.is_down = self.is_cut = self.is_frozen = False
        self.lease_until = float("inf")
        self.held = []
        self.start(number + 1)

    def start(self, session):
        """Starts a process that knows nothing."""
        play = self.play
        self.session = session
        self.version = 0
        self.keepers = quota_keepers.Keepers(self.name, play.clk.now())
        self.keeper = quota_keeper.Keeper(
            *(self.name, self.keepers, BOUNDS, play.accounts.get),
            *(lambda: play.clk.now() < self.lease_until, self.send),
        )
        self.asker = quota_asker.Asker(
            *(self.name, self.keepers, self.keeper, BOUNDS, self.send),
            *(self.schedule, play.clk, play.rng),
        )

    def schedule(self, delay_ms, call):
        """Calls a function of this process later."""
        asker = self.asker

        def run():
            if self.asker is asker:
                self.run(call)

        self.play.at(delay_ms, run)

    def run(self, call):
        """Runs a call now, when the VM wakes, or not at all."""
        if self.is_frozen:
            self.held.append(call)
        elif not self.is_down:
            call()

    def send(self, name, message):
        """Sends a datagram."""
        play = self.play
        other = play.by_name[name]
        if self.is_cut or other.is_cut or play.rng.random() < play.loss:
            return
        play.sent += 1
        delay_ms = 0.5 + play.rng.expovariate(1 / 2.0)
        receive = functools.partial(other.receive, messages.encode(message))
        play.at(delay_ms, lambda: other.run(receive))

    def receive(self, data):
        """Handles a datagram."""
        message, now = messages.decode(data), self.play.clk.now()
        if isinstance(message, messages.GiveBack):
            self.keeper.handle_give_back(message, now)
            return
        self.keeper.note_heard(message.sender, message.fingerprint, now)
        if isinstance(message, messages.Ask):
            self.keeper.handle_ask(message, now)
        else:
            self.asker.handle_answer(message)

    def learn(self, version, members):
        """Applies a list of entries, unless it knows a newer one."""
        if self.is_cut or version <= self.version:
            return
        self.version = version
        now = self.play.clk.now()
        if self.keepers.set_members(members, now):
            is_listed = members.sessions.get(self.name) == self.session
            self.keeper.hand_over(is_listed, now)


class Play:
    """One play; see `run`."""

    def __init__(
        self,
        seed,
        fault=None,
        usual=None,
        rush=9.0,
        hits_keeper=True,
        rate=None,
    ):
        self.rng = rng = random.Random(seed)
        self.fault = fault or rng.choice(FAULTS)
        self.usual = usual or 0.5 * 120 ** rng.random()
        self.rush = rush
        self.hits_keeper = hits_keeper
        self.loss = rng.choice((0.0, 0.0, 0.02, 0.1))
        rate = rate or self.usual * 1.6
        self.limit = Limit(rate, rate)
        self.accounts = {ACCOUNT: self.limit}
        self.clk = clock.ManualClock()
        self.events = []
        self.numbers = itertools.count(1)
        self.sent = self.asked = 0
        self.admitted = []
        self.due = []
        self.entries = [Entry(self, number) for number in range(ENTRIES)]
        self.by_name = {entry.name: entry for entry in self.entries}
        self.has_leader = True
        self.rush_at = WARM_MS + rng.uniform(1000, 9000)

    def at(self, delay_ms, call):
        """Schedules a call."""
        when = self.clk.now() + delay_ms
        heapq.heappush(self.events, (when, next(self.numbers), call))

    def list_members(self):
        """Returns the list of the entries that control counts."""
        listed = [e for e in self.entries if e.session]
        return quota_keepers.Members(
            {e.name: e.session for e in listed},
            {e.name: e.data_centre for e in listed},
        )

    def publish(self):
        """Has control send its list to all entries; each learns it later."""
        if not self.has_leader:
            self.at(500, self.publish)
            return
        members, version = self.list_members(), next(self.numbers)
        for entry in self.entries:
            learn = functools.partial(entry.learn, version, members)
            run = functools.partial(entry.run, learn)
            self.at(self.rng.uniform(2, 300), run)

    def remove(self, entry):
        """Has control remove an entry, its lease being over."""
        entry.session = 0
        self.publish()

    def join(self, entry, restart):
        """Has an entry join again."""
        session = 1000 + next(self.numbers)
        if restart:
            entry.start(session)
        entry.session = session
        entry.lease_until = float("inf")
        self.publish()

    def break_something(self):
        """Begins the fault of this play."""
        rng, now = self.rng, self.clk.now()
        keeper, stand_in = self.entries[0].keepers.rank(ACCOUNT)
        names = [rng.choice(self.entries).name]
        if self.hits_keeper:
            names += [keeper, keeper, stand_in]
        hit = [self.by_name[rng.choice(names)]]
        if self.fault == "zone":
            place = hit[0].data_centre
            hit = [e for e in self.entries if e.data_centre == place]
        lasts_ms = rng.uniform(300, 6000)
        if self.fault == "leaderless":
            self.has_leader = False
            for entry in self.entries:
                entry.lease_until = now + LEASE_MS
            self.at(LEADERLESS_MS, self.find_leader)
            return
        for entry in hit if self.fault != "none" else ():
            entry.is_down = self.fault in ("lost", "restarted", "zone")
            entry.is_cut = self.fault == "cut"
            entry.is_frozen = self.fault == "frozen"
            entry.lease_until = now + LEASE_MS
            over_ms = LEASE_MS + rng.uniform(100, 900)
            if lasts_ms > over_ms or entry.is_down:
                self.at(over_ms, functools.partial(self.remove, entry))
            if self.fault != "lost":
                self.at(lasts_ms, functools.partial(self.mend, entry))

    def find_leader(self):
        """Ends the time without a leader."""
        self.has_leader = True
        for entry in self.entries:
            entry.lease_until = float("inf")

    def mend(self, entry):
        """Ends the fault of one entry."""
        was_down = entry.is_down
        entry.is_down = entry.is_cut = entry.is_frozen = False
        held, entry.held = entry.held, []
        for call in held:
            call()
        if was_down or not entry.session:
            delay_ms = self.rng.uniform(20, 300)
            self.at(delay_ms, lambda: self.join(entry, was_down))
        else:
            entry.lease_until = float("inf")

    def arrive(self, first=True):
        """Sends one request of the account to an entry that takes it."""
        takes = [e for e in self.entries if not e.is_down and not e.is_frozen]
        entry = self.rng.choice(takes)
        now = self.clk.now()
        self.asked += 1
        if first:
            self.due.append(now)

        def done(decision):
            if decision.granted:
                self.admitted.append(self.clk.now())
            elif first:
                wait_ms = max(20.0, min(decision.return_ms, 2000.0))
                self.at(wait_ms * self.rng.uniform(1, 1.6), self.repeat)

        entry.asker.decide(ACCOUNT, self.limit, done)

    def repeat(self):
        """Sends a refused request once more."""
        self.arrive(first=False)

    def arrive_often(self):
        """Sends requests at the rate of the account."""
        now = self.clk.now()
        per_s = self.usual
        if 0 <= now - self.rush_at < 5000:
            per_s *= self.rush
        if now >= WARM_MS:
            self.arrive()
        self.at(self.rng.expovariate(per_s) * 1000, self.arrive_often)

    def run(self):
        """Plays to the end; returns this play."""
        members = self.list_members()
        for entry in self.entries:
            entry.learn(next(self.numbers), members)
        self.at(0, self.arrive_often)
        self.at(WARM_MS + self.rng.uniform(0, 12_000), self.break_something)
        while self.events[0][0] < PLAY_MS:
            when, _, call = heapq.heappop(self.events)
            self.clk.advance(when - self.clk.now())
            call()
        return self

    def worst_share_of_bound(self):
        """Returns the most admitted in a window, as a share of the bound."""
        whole = self.limit.rate_per_s * BOUNDS.window_ms / 1000
        bound = (whole + self.limit.burst) * (1 + BOUNDS.excess) + BOUNDS.slack
        recent, worst = collections.deque(), 0
        for at in self.admitted:
            recent.append(at)
            while recent[0] < at - BOUNDS.window_ms:
                recent.popleft()
            worst = max(worst, len(recent))
        return worst / bound

    def count_due(self):
        """Returns how many requests the limit allows, and how many ran.

        An exact bucket tells what is allowed. Each window counts for itself, so
        that one doesn't make up for another.
        """
        limit = self.limit
        allowance = quota.Allowance(limit.rate_per_s, max(1, limit.burst))
        bucket = quota.Bucket(allowance, 0.0)
        allowed = collections.Counter()
        for at in self.due:
            bucket.refill(allowance, at)
            allowed[at // BOUNDS.window_ms] += bucket.take(1)
        went = collections.Counter(
            at // BOUNDS.window_ms for at in self.admitted
        )
        return allowed.total(), (allowed & went).total()


def play_many(count, seed=1, **options):
    """Returns the worst share of the bound, and due and served by fault."""
    worst, due, served = 0.0, collections.Counter(), collections.Counter()
    for number in range(count):
        play = Play(seed + number, **options).run()
        worst = max(worst, play.worst_share_of_bound())
        allowed, went = play.count_due()
        due[play.fault] += allowed
        served[play.fault] += went
    return worst, due, served


def main():
    """Prints the results of many plays, and the cost below half a limit."""
    worst, due, served = play_many(int(sys.argv[1]))
    print(f"worst window: {worst:.3f} of the bound")
    for fault in sorted(due):
        share = served[fault] / due[fault]
        print(f"{fault}: {share:.4f} of {due[fault]} requests served")
    print(f"all: {served.total() / due.total():.4f}")
    calm = Play(1, "none", 20.0, rush=1.0).run()
    print(f"calm: {calm.sent / calm.asked:.2f} messages a request")


if __name__ == "__main__":
    main()
