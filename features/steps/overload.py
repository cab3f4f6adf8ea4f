"""Steps for requests that compete for too few slots, in virtual time."""

import asyncio
import collections
import random
import types

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel import metrics
from cardamomkeel.gateway import gateway
from cardamomkeel.gateway import gossip
from cardamomkeel.gateway import messages
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import settings
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.routes import document
from cardamomkeel.routes import table
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2
from features import virtual_time

SEEDS = (1, 2, 3)
DEADLINE_MS = 2000.0
SLOTS, PLACES = 2, 4
# Work is slowed in a share of spans of time, and if all slots are in use.
NOISE, NOISE_FACTOR, SPAN_MS, FULL_FACTOR = 0.3, 5.0, 150.0, 1.7


class Server:
    """A target that runs `SLOTS` requests and hangs beyond its places."""

    def __init__(self, loop, address):
        self.loop, self.address = loop, address
        self.running, self.waiting = 0, collections.deque()

    def load(self):
        """Returns its load header."""
        slow = self.factor(self.loop.now()) * 100
        return b"%d,%d,2,%d" % (self.running, len(self.waiting), slow)

    def factor(self, at):
        """Returns the slowdown at some time."""
        drawn = random.Random(f"{self.address} {at // SPAN_MS}").random()
        return NOISE_FACTOR if drawn < NOISE else 1.0

    async def serve(self, work_ms, until_ms):
        """Returns whether it answers before the deadline."""
        try:
            async with asyncio.timeout_at(clock.seconds(until_ms)):
                await self._run(work_ms)
        except TimeoutError:
            return False
        return True

    async def _run(self, work_ms):
        if self.running + len(self.waiting) >= SLOTS + PLACES:
            await asyncio.sleep(DEADLINE_MS)
        while self.running >= SLOTS:
            turn = self.loop.create_future()
            self.waiting.append(turn)
            try:
                await turn
            finally:
                if turn in self.waiting:
                    self.waiting.remove(turn)
        self.running += 1
        work_ms *= FULL_FACTOR if self.running == SLOTS else 1.0
        try:
            while work_ms > 0.01:
                now = self.loop.now()
                left_ms = SPAN_MS - now % SPAN_MS + 0.001
                step_ms = min(left_ms, work_ms * self.factor(now))
                work_ms -= step_ms / self.factor(now)
                await asyncio.sleep(clock.seconds(step_ms))
        finally:
            self.running -= 1
            if self.waiting:
                self.waiting.popleft().set_result(None)


class Sender(sending.Sender):
    """Sends to simulated targets, and probes them."""

    def __init__(self, play, targets):
        self._play, self._targets = play, targets

    async def probe(self, targets):
        """Records the load of targets."""
        await asyncio.sleep(0.001)
        for target in targets:
            server = self._play.servers[target.address]
            self._targets.record_load(target, server.load())

    async def _send(self, outgoing, target, _is_resend):
        now = self._play.loop.now()
        server = self._play.servers[target.address]
        work = self._targets.get_work(target.record.service, outgoing.route)
        watch = self._watch(outgoing, target)
        crowded = self._targets.is_crowded(target)
        slow = target.reported_slowdown(now)
        work_ms = float(outgoing.req.get(b"work"))
        answered = await server.serve(work_ms, outgoing.deadline)
        watch.cancel()
        took_ms, now = self._play.loop.now() - now, self._play.loop.now()
        if not answered:
            return sending.Attempt(sending.SendResult.LATE)
        self._targets.record_load(target, server.load())
        target.note_answer(work, took_ms, slow, crowded, now)
        return sending.Attempt(
            sending.SendResult.ANSWERED, "", messages.Response(200)
        )


class AccountCheck:
    """Finds the account of a request."""

    async def admit(self, ctx):
        """Sets the account."""
        name = ctx.outgoing.req.get(b"account").decode()
        ctx.account = document.Account(name=name) if name else None

    def recheck(self, ctx):
        """Refuses none."""

    def note_end(self, ctx, ran):
        """Does nothing."""


class Play:
    """Entries, their targets and callers.

    Attributes:
        loop: The clock and the event loop.
        servers: The targets by address.
        counts: Ends of requests by prefix and account.
    """

    def __init__(self, entries, targets, routes, seed):
        self.loop, self.rng = virtual_time.VirtualLoop(), random.Random(seed)
        self.routes, self.servers, self.gossips = routes, {}, []
        self.counts = collections.defaultdict(collections.Counter)
        rows = {}
        for number in range(targets):
            row = control_pb2.InstanceRecord(
                address=f"10.0.0.{number}:80", service="a", state="ready"
            )
            row.data_centre, row.slots = "brest", SLOTS
            rows[row.address] = row
            self.servers[row.address] = Server(self.loop, row.address)
        text = document.RoutesDocument(
            routes=tuple(routes), services={"a": document.RoutedService()}
        )
        view = view_lib.View(table=table.RouteTable(text, 1), instances=rows)
        view.entries = dict.fromkeys(range(entries), control_pb2.EntryRecord())
        self.gateways = [self._make(view, n) for n in range(entries)]

    def _make(self, view, number):
        own = gossip.Gossip(f"e-{number}", self.loop, lambda: None)
        own._transport = self  # noqa: SLF001
        targets = targets_lib.Targets("brest", f"e-{number}", own, self.loop)
        own._targets = targets  # noqa: SLF001
        targets.apply_changes(view, view_lib.Changes(all_rows=True))
        self.gossips.append(own)
        cfg = settings.GatewaySettings(
            **dict.fromkeys(("callers_address", "operators_address"), ""),
            **{"name": "", "data_centre": "brest", "entries_address": ""},
            control={},
        )
        sender = Sender(self, targets)
        return gateway.Gateway(
            *(cfg, types.SimpleNamespace(view=view), targets, sender, sender),
            *(None, metrics.Metrics(), self.loop, random.Random(number)),
            checks=[AccountCheck()],
        )

    def sendto(self, data, _address):
        """Delivers a datagram to all entries."""
        for other in self.gossips:
            other._receive(data)  # noqa: SLF001

    def serve(self, rate, seconds, draw):
        """Serves requests whose route and account are drawn."""

        async def run():
            calls = []
            for other in self.gossips:
                other._addresses = [""]  # noqa: SLF001
            while self.loop.now() < seconds * 1000:
                await asyncio.sleep(self.rng.expovariate(rate))
                calls.append(asyncio.ensure_future(self._call(*draw(self))))
            await asyncio.gather(*calls)

        self.loop.run_until_complete(run())

    async def _call(self, route, work_ms, account):
        began = self.loop.now()
        work_ms *= self.rng.lognormvariate(0, 0.3)
        for _ in range(2):
            left_ms = began + DEADLINE_MS - self.loop.now()
            values = (b"h", b"r", int(left_ms), work_ms, account.encode())
            names = (b"Host", b"Cardamomkeel-Request-Id")
            names += (b"Cardamomkeel-Deadline-Ms", b"work", b"account")
            headers = [
                (name, value if isinstance(value, bytes) else b"%d" % value)
                for name, value in zip(names, values, strict=True)
            ]
            req = messages.Request(
                "GET", route.prefix, headers, b"", self.loop.now()
            )
            answer = await self.rng.choice(self.gateways).handle(req)
            if answer.status != 503:
                break
            wait_s = float(dict(answer.headers)[b"Retry-After"])
            await asyncio.sleep(min(wait_s, clock.seconds(left_ms) / 3))
        took_ms = self.loop.now() - began
        end = {200: "late", 503: "refused"}.get(answer.status, "failed")
        if end == "late" and took_ms <= route.objective_ms:
            end = "in time"
        self.counts[route.prefix, account][end] += 1


def share(counts, *ends):
    """Returns the share of requests with some ends."""
    return sum(counts[end] for end in ends) / max(1, counts.total())


@given(
    "{entries:d} entries with {targets:d} targets of 2 slots that hang when "
    "full"
)
def make_play(context, entries, targets):
    routes = [
        virtual_time.make_route("/s/", 250.0, 0),
        virtual_time.make_route("/u/", 400.0, 1),
    ]
    context.make = lambda seed: Play(entries, targets, routes, seed)


@given(
    "an urgent route of 120 ms useful within 250 ms, and one of 160 ms within "
    "400 ms"
)
def set_two_routes(context):
    def draw(play):
        if play.rng.random() < 2 / 3:
            return play.routes[0], 120.0, ""
        return play.routes[1], 160.0, ""

    context.draw = draw


@when("{rate:d} requests a second arrive for {seconds:d} s")
def serve(context, rate, seconds):
    context.play = context.make(SEEDS[0])
    context.play.serve(rate, seconds, context.draw)
    context.rate, context.seconds = rate, seconds
    counts = context.play.counts
    context.all = sum(counts.values(), collections.Counter())
    print(context.all)


@then("at least {least:d} in 100 of all are answered in time")
def check_in_time(context, least):
    assert 100 * share(context.all, "in time") >= least, context.all


@then("at most {most:d} in 100 get no answer")
def check_answered(context, most):
    assert 100 * share(context.all, "failed") <= most, context.all


@then(
    "the less urgent ones are answered in time at most {most:d} in 100 more "
    "often"
)
def check_ranks(context, most):
    counts = context.play.counts
    urgent, other = (
        share(counts[prefix, ""], "in time") for prefix in ("/s/", "/u/")
    )
    print(f"in time: urgent {urgent:.3f}, less urgent {other:.3f}")
    assert other <= urgent + most / 100, counts


@then("each rank is answered at least half as often as all")
def check_none_starved(context):
    mean = share(context.all, "in time", "late")
    for counts in context.play.counts.values():
        assert share(counts, "in time", "late") >= mean / 2, counts


@given(
    "{count:d} accounts of skew {skew:f}, the first of which rushes after "
    "{after:d} s"
)
def set_accounts(context, count, skew, after):
    weights = [(number + 1) ** -skew for number in range(count)]
    names = [f"a-{number}" for number in range(count)]
    rushing = [9 * weights[0], *weights[1:]]
    # Requests of the others arrive as often as without the rush.
    context.growth = sum(rushing) / sum(weights)

    def draw(play):
        rushes = context.rush and play.loop.now() > after * 1000
        drawn = rushing if rushes else weights
        (name,) = play.rng.choices(names, drawn)
        return play.routes[0], 120.0, name

    context.draw, context.rush, context.after_s = draw, False, after


@then(
    "the credit of the others is within {most:d} in 100 of that without the "
    "rush or above"
)
def check_rush(context, most):
    found = []
    for context.rush in (False, True):
        context.counts = collections.defaultdict(collections.Counter)
        rate = context.rate * (context.growth if context.rush else 1.0)
        for seed in SEEDS:
            play = context.make(seed)
            play.serve(context.rate, context.after_s, context.draw)
            play.counts.clear()
            play.serve(rate, context.seconds, context.draw)
            for (_, name), counts in play.counts.items():
                context.counts[name] += counts
        others = (c for name, c in context.counts.items() if name != "a-0")
        found.append(share(sum(others, collections.Counter()), "in time"))
    without, with_rush = found
    print(f"others in time: {without:.3f}, with the rush {with_rush:.3f}")
    assert with_rush >= without - most / 100


@then(
    "no account of {least:d} requests or more is answered less than a quarter "
    "as often as the others"
)
def check_accounts(context, least):
    found = [
        c
        for name, c in context.counts.items()
        if c.total() >= least and name != "a-0"
    ]
    mean = share(sum(found, collections.Counter()), "in time", "late")
    for counts in found:
        assert share(counts, "in time", "late") >= mean / 4, counts
