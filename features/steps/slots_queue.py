"""Steps for requests that wait for a slot, in one process."""

import dataclasses
import random
import time

import anyio
from behave import given
from behave import then
from behave import when
from returns import result

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.backend_servers import client as client_lib
from cardamomkeel.control import signal
from cardamomkeel.policy import promises as promises_lib
from cardamomkeel.policy import slots as slots_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import owner as owner_lib
from cardamomkeel.routing import service_view
from cardamomkeel.settings import services
from cardamomkeel.wire import control_pb2

SERVICE = "dossier"
DEADLINE_MS = 5000.0
SESSION = 7
SLOW_MS = 200.0
MAX_TIMED_OUT_SHARE = 0.05
BROKEN_AFTER_MS = 5.0
# Longer than the slot of a request with a broken connection is held.
PAUSE_MS = 1.5 * slots_lib.TRANSIT_MS


class _PausedClock:
    """A clock of a process that is paused right after a reading.

    Attributes:
        is_armed: Whether readings are counted.
        remaining: The number of readings before the pause; negative after it.
    """

    def __init__(self, readings):
        self.is_armed = False
        self.remaining = readings
        self._paused_ms = 0.0

    def now(self):
        now = time.monotonic() * clock.MS_PER_SECOND + self._paused_ms
        if self.is_armed:
            if self.remaining == 0:
                self._paused_ms = PAUSE_MS
            self.remaining -= 1
        return now


class _Session:
    """A session with a lease that a test can let expire."""

    def __init__(self, slots, queue, targets=1, hedge_share=0.0):
        self.id = SESSION
        self.lease_until = float("inf")
        self.promises = promises_lib.Promises()
        service = services.Service(
            slots=slots,
            queue=queue,
            cold_slots=slots,
            idempotent=True,
            hedge_share=hedge_share,
        )
        self.view = service_view.ServiceView()
        self.view.services[SERVICE] = service
        for number in range(targets):
            address = f"10.0.0.{number + 1}:80"
            self.view.targets[address] = control_pb2.TargetRecord(
                service=SERVICE, address=address, slots=slots, owner=SESSION
            )

    def is_fresh(self):
        return time.monotonic() * 1000 < self.lease_until


class _Http:
    """Simulates targets; some requests run on after their timeout."""

    def __init__(self):
        self.run_ms = 0.0
        self.running = 0
        self.max_running = 0
        self.run_after_timeout_ms = 0.0
        self.sent = 0
        self.timed_out = 0
        self.cancelled = 0
        self.slow_every = 0
        self.slow_ms = 0.0

    async def send(self, address, req, headers, deadline, guard):
        if req.path == "/slow-connection":
            await anyio.sleep(clock.seconds(self.run_ms))
        if not guard.may_send():
            failure_kind = client_lib.FailureKind.NOT_SENT
            return result.Failure(
                client_lib.SendFailure(failure_kind, "no lease")
            )
        self.sent += 1
        self.running += 1
        self.max_running = max(self.max_running, self.running)
        if req.path == "/broken":
            await anyio.sleep(clock.seconds(BROKEN_AFTER_MS))
            self.running -= 1
            self.clk.is_armed = True
            return result.Failure(
                client_lib.SendFailure(client_lib.FailureKind.BROKEN, "cut")
            )
        if req.path == "/late":
            await anyio.sleep(clock.seconds(100))
            self.tasks.start_soon(self._run_on)
            failure = client_lib.SendFailure(
                client_lib.FailureKind.TIMED_OUT, "late"
            )
            return result.Failure(failure)
        is_slow = self.slow_every and self.sent % self.slow_every == 0
        run_ms = self.slow_ms if is_slow else self.run_ms
        left = deadline - time.monotonic() * 1000
        if run_ms > left:
            await anyio.sleep(clock.seconds(max(0.0, left)))
            self.running -= 1
            self.timed_out += 1
            failure_kind = client_lib.FailureKind.TIMED_OUT
            return result.Failure(client_lib.SendFailure(failure_kind, "late"))
        try:
            await anyio.sleep(clock.seconds(run_ms))
        except anyio.get_cancelled_exc_class():
            self.cancelled += 1
            guard.note_cancelled()
            raise
        finally:
            self.running -= 1
        return result.Success(messages.Answer(200, [], b""))

    async def _run_on(self):
        await anyio.sleep(clock.seconds(self.run_after_timeout_ms))
        self.running -= 1


@dataclasses.dataclass
class _Rig:
    owner: owner_lib.Owner
    http: _Http
    clk: clock.Clock
    results: list = dataclasses.field(default_factory=list)
    latencies_ms: list = dataclasses.field(default_factory=list)

    async def call(
        self, deadline_ms=DEADLINE_MS, path="/", excluded=frozenset()
    ):
        started = self.clk.now()
        req = messages.Request(
            SERVICE, "GET", path, [], b"", started + deadline_ms
        )
        req_result = await self.owner.dispatch(req, excluded)
        self.results.append((path, req_result))
        self.latencies_ms.append(self.clk.now() - started)

    def answered(self):
        wanted = messages.Outcome.ANSWERED
        return [e for _, e in self.results if e.outcome is wanted]


def _run_scene(context, scene):
    """Runs a scene in an event loop, with the tasks of the owner."""

    async def run():
        async with anyio.create_task_group() as tasks:
            rig = context.rig
            rig.http.tasks = tasks
            tasks.start_soon(rig.owner.run)
            rig.owner.apply_view()
            with anyio.fail_after(20):
                async with anyio.create_task_group() as calls:
                    await scene(rig, calls)
            tasks.cancel_scope.cancel()

    anyio.run(run)


@given(
    "an owner of a target with {slots:d} slots and a queue for "
    "{queue:d} requests"
)
def make_owner(context, slots, queue):
    _make_owner(context, _Session(slots, queue))


def _make_owner(context, session, clk=None):
    clk = clk or clock.MonotonicClock()
    http = _Http()
    http.clk = clk
    owner = owner_lib.Owner(
        session,
        http,
        None,
        clk,
        random.Random(1),
        metrics_lib.Metrics(),
    )
    context.rig = _Rig(owner, http, clk)


@given("its requests take {run_ms:d} ms")
def set_run_time(context, run_ms):
    context.rig.http.run_ms = run_ms


@when("{count:d} requests of {run_ms:d} ms each arrive at once")
def arrive(context, count, run_ms):
    context.rig.http.run_ms = run_ms
    context.woken = 0
    wait = signal.Signal.wait

    async def counted(self, timeout_s=None):
        woken = await wait(self, timeout_s)
        context.woken += 1
        return woken

    async def scene(rig, calls):
        for _ in range(count):
            calls.start_soon(rig.call)

    signal.Signal.wait = counted
    try:
        _run_scene(context, scene)
    finally:
        signal.Signal.wait = wait


@then("all {count:d} were answered and at most {most:d} ran at a time")
def check_all_answered(context, count, most):
    assert len(context.rig.answered()) == count, context.rig.results
    assert context.rig.http.max_running == most, context.rig.http.max_running


@then("no request was woken without a slot")
def check_woken(context):
    # Only tasks of the owner wait for signals; requests do not.
    assert context.woken <= len(context.rig.results), context.woken


@when("a request times out after {after_ms:d} ms while another one waits")
def time_out(context, after_ms):
    context.rig.http.run_after_timeout_ms = 90.0

    async def scene(rig, calls):
        calls.start_soon(rig.call, float(after_ms), "/late")
        await anyio.sleep(clock.seconds(10))
        calls.start_soon(rig.call)

    _run_scene(context, scene)


@when(
    "a request that may run for {allowed_ms:d} ms is abandoned and one with a "
    "deadline of {ms:d} ms arrives right after it"
)
def request_after_abandoned(context, allowed_ms, ms):
    context.rig.http.run_after_timeout_ms = float(allowed_ms)
    context.path = "/refused"

    async def scene(rig, _calls):
        await rig.call(float(allowed_ms), "/late")
        await rig.call(float(ms), context.path)

    _run_scene(context, scene)


@then("the waiting request is answered within {most_ms:d} ms")
def check_waiting(context, most_ms):
    assert len(context.rig.answered()) == 1, context.rig.results
    assert context.rig.latencies_ms[-1] < most_ms, context.rig.latencies_ms


@then("at most {most:d} request ran at a time, including the timed-out one")
def check_most(context, most):
    assert context.rig.http.max_running == most, context.rig.http.max_running


@when(
    "the connection of a request breaks while another one with a deadline of "
    "{ms:d} ms waits, and the process is paused after any of {count:d} "
    "readings of the clock"
)
def pause_anywhere(context, ms, count):
    async def scene(rig, calls):
        calls.start_soon(rig.call, DEADLINE_MS, "/broken")
        await anyio.sleep(0)
        calls.start_soon(rig.call, float(ms), "/waits")

    context.results = {}
    for readings in range(count):
        clk = _PausedClock(readings)
        _make_owner(context, _Session(1, 300), clk)
        _run_scene(context, scene)
        if clk.remaining < 0:
            context.results[readings] = dict(context.rig.results)["/waits"]


@then(
    "the waiting request is answered each time, with at least {min_pauses:d} "
    "pauses"
)
def check_each_pause(context, min_pauses):
    wanted = messages.Outcome.ANSWERED
    missed = [n for n, e in context.results.items() if e.outcome is not wanted]
    assert not missed, (missed, context.results[missed[0]])
    assert len(context.results) >= min_pauses, len(context.results)


@when("{count:d} requests wait and every second one is cancelled")
def cancel_half(context, count):
    context.rig.http.run_ms = 5.0

    async def cancelled(rig, number):
        with anyio.move_on_after(clock.seconds(number)):
            await rig.call(path="/cancelled")

    async def scene(rig, calls):
        # The slot is in use until after the last request is cancelled.
        rig.http.run_ms = 50.0
        calls.start_soon(rig.call, DEADLINE_MS, "/first")
        await anyio.sleep(clock.seconds(10))
        rig.http.run_ms = 5.0
        for number in range(count):
            if number % 2:
                calls.start_soon(cancelled, rig, number)
            else:
                calls.start_soon(rig.call, DEADLINE_MS, "/kept")

    _run_scene(context, scene)


@then("the other {count:d} are answered")
def check_kept(context, count):
    kept = [e for path, e in context.rig.results if path == "/kept"]
    assert len(kept) == count, kept
    assert all(e.outcome is messages.Outcome.ANSWERED for e in kept), kept


@when("{count:d} requests wait and one with a deadline of {ms:d} ms arrives")
def arrive_late(context, count, ms):
    async def scene(rig, calls):
        await rig.call()
        for _ in range(count):
            # Earlier deadlines are served first, so all have the same one.
            calls.start_soon(rig.call, float(ms))
        await anyio.sleep(0.005)
        rig.latencies_ms.clear()
        await rig.call(float(ms), "/refused")
        context.refused_ms = rig.latencies_ms[0]

    _run_scene(context, scene)


@then(
    "it ends as not run in less than {ms:d} ms and its error reports the wait"
)
def check_refused(context, ms):
    (req_result,) = [e for p, e in context.rig.results if p == "/refused"]
    assert req_result.outcome is messages.Outcome.NOT_RUN, req_result
    assert "has a wait of" in str(req_result.error), req_result
    assert context.refused_ms < ms, context.refused_ms


@then("{count:d} were answered and the others ended as not run")
def check_some_answered(context, count):
    assert len(context.rig.answered()) == count, context.rig.results
    others = [
        e
        for _, e in context.rig.results
        if e.outcome is messages.Outcome.NOT_RUN
    ]
    assert len(others) + count == len(context.rig.results)


@when("the lease expires while a connection opens for a request")
def expire_lease(context):
    context.rig.http.run_ms = 100.0

    async def scene(rig, calls):
        calls.start_soon(rig.call, DEADLINE_MS, "/slow-connection")
        await anyio.sleep(clock.seconds(50))
        rig.owner._session.lease_until = rig.clk.now()

    _run_scene(context, scene)


@then("nothing was sent and the request ended as not run")
def check_not_sent(context):
    ((_, req_result),) = context.rig.results
    assert req_result.outcome is messages.Outcome.NOT_RUN, req_result
    assert context.rig.http.max_running == 0


@when("a request of {run_ms:d} ms waits {wait_ms:d} ms for its connection")
def wait_for_connection(context, run_ms, wait_ms):
    context.rig.http.run_ms = float(wait_ms)

    async def scene(rig, calls):
        calls.start_soon(rig.call, float(run_ms), "/slow-connection")
        await anyio.sleep(clock.seconds(wait_ms + 20))
        (owned,) = rig.owner.owned.values()
        context.counted_ms = owned.candidate.slots.remaining(rig.clk.now())[1]

    _run_scene(context, scene)


@then("its slot counts as taken for {run_ms:d} ms from the first byte on")
def check_counted(context, run_ms):
    assert context.counted_ms >= run_ms, context.counted_ms


@given("an owner of {targets:d} targets that hedges a share of {share:g}")
def make_hedging_owner(context, targets, share):
    _make_owner(context, _Session(3, 300, targets, share))


@when("{count:d} requests are sent, every {every:d}th attempt of which is slow")
def send_some_slow(context, count, every):
    async def client(rig):
        for _ in range(count // 4):
            await rig.call()
        # Counted here: the end of the scene cancels running attempts too.
        context.cancelled = rig.http.cancelled

    async def scene(rig, calls):
        rig.http.run_ms = 3.0
        for _ in range(30):
            await rig.call()
        rig.http.slow_every = every
        rig.http.slow_ms = SLOW_MS
        rig.http.sent = 0
        rig.latencies_ms.clear()
        rig.results.clear()
        for _ in range(4):
            calls.start_soon(client, rig)

    _run_scene(context, scene)


@then("fewer than {count:d} of them took as long as a slow attempt")
def check_tail(context, count):
    slow = [ms for ms in context.rig.latencies_ms if ms >= SLOW_MS]
    assert len(slow) < count, len(slow)


@then("at least {count:d} attempts that lost were cancelled")
def check_cancelled(context, count):
    assert context.cancelled >= count, context.cancelled


@then("at least {count:d} of them took as long as a slow attempt")
def check_no_hedge(context, count):
    slow = [ms for ms in context.rig.latencies_ms if ms >= SLOW_MS]
    assert len(slow) >= count, len(slow)


@then("all were answered, with at most {extra:d} attempts more than requests")
def check_budget(context, extra):
    rig = context.rig
    assert len(rig.answered()) == len(rig.results), rig.results
    assert rig.http.sent - len(rig.results) <= extra, rig.http.sent
    taken = [o.candidate.slots.in_flight for o in rig.owner.owned.values()]
    assert not any(taken), taken


@when(
    "{count:d} callers with a deadline of {deadline_ms:d} ms keep it busy for "
    "{busy_ms:d} ms"
)
def keep_busy(context, count, deadline_ms, busy_ms):
    async def client(rig, until):
        while rig.clk.now() < until:
            await rig.call(float(deadline_ms))
            await anyio.sleep(0.001)

    async def scene(rig, calls):
        for _ in range(30):
            await rig.call()
        until = rig.clk.now() + busy_ms
        for _ in range(count):
            calls.start_soon(client, rig, until)

    _run_scene(context, scene)


@then(
    "it keeps its {slots:d} slots and hardly any request that was sent "
    "timed out"
)
def check_still_warm(context, slots):
    (owned,) = context.rig.owner.owned.values()
    assert owned.candidate.slots.limit == slots, owned.candidate.slots
    # On a busy machine, late timers may time out some requests.
    share = context.rig.http.timed_out / context.rig.http.sent
    assert share < MAX_TIMED_OUT_SHARE, share


@given("an owner of {targets:d} targets")
def make_owner_of_many(context, targets):
    _make_owner(context, _Session(1, 300, targets))


@when("a request that the first target has failed waits and the second drains")
def drain_second(context):
    context.rig.http.run_ms = 1000.0

    async def scene(rig, calls):
        session = rig.owner._session
        first, second = list(session.view.targets)
        failed = frozenset([first])
        calls.start_soon(rig.call, DEADLINE_MS, "/busy", failed)
        await anyio.sleep(clock.seconds(10))
        calls.start_soon(rig.call, DEADLINE_MS, "/waits", failed)
        await anyio.sleep(clock.seconds(100))
        session.view.targets[second].state = "draining"
        session.view.edition += 1
        session.view._index_targets()
        rig.owner.apply_view()

    _run_scene(context, scene)
    context.path = "/waits"


@when("a request that both targets have failed arrives")
def arrive_excluded(context):
    async def scene(rig, calls):
        both = frozenset(rig.owner._session.view.targets)
        calls.start_soon(rig.call, DEADLINE_MS, "/excluded", both)

    _run_scene(context, scene)
    context.path = "/excluded"


@then("it ends as not run within {most_ms:d} ms")
def check_not_held(context, most_ms):
    rig = context.rig
    ends = zip(rig.results, rig.latencies_ms, strict=True)
    ((end, took_ms),) = [
        (end, took_ms) for (path, end), took_ms in ends if path == context.path
    ]
    assert end.outcome is messages.Outcome.NOT_RUN, end
    assert took_ms <= most_ms, took_ms
