"""Steps for a gateway, an entry that sends to every target directly."""

import asyncio
import collections
import concurrent.futures
import hashlib
import threading
import time

from behave import given
from behave import then
from behave import when
from returns import result

from bench import gateway as gateway_lib
from bench import platform_targets
from cardamomkeel.gateway import upstream as upstream_lib
from cardamomkeel.wire import control_pb2


def all_arrivals(context):
    return [a for t in context.rig.farm.targets for a in t.arrivals]


def wait_for_arrival(context):
    target = context.rig.farm.targets[0]
    until = time.monotonic() + 5
    while not target.arrivals and time.monotonic() < until:
        time.sleep(0.005)


@given("an entry with routes for lookups and bookings")
def start(context):
    start_without_routes(context)
    context.rig.set_routes(gateway_lib.ROUTES, 1)


@given("{count:d} targets")
@given("{count:d} target")
def add_targets(context, count):
    for _ in range(count):
        context.rig.add_target()


@given("{count:d} targets that run no more at a time than they have slots")
def add_bounded_targets(context, count):
    add_targets(context, count)
    for target in context.rig.farm.targets:
        target.run_limit = asyncio.Semaphore(target.slots)


@given('{count:d} target in "{data_centre}"')
def add_remote_target(context, count, data_centre):
    for _ in range(count):
        context.rig.add_target(data_centre)


@given("1 target in cold start that sustains {rate:d} requests a second")
def add_cold_target(context, rate):
    services = {"dossier": {"cold_ms": 3000, "cold_per_s": rate}}
    context.rig.set_routes(gateway_lib.ROUTES, 2, services)
    context.rig.add_target(cold_ms=10_000, cold_until_log_ms=11_000)


@given(
    "{count:d} targets of a service that sustains {rate:d} requests a second "
    "in cold start"
)
def add_cold_start_targets(context, count, rate):
    services = {"dossier": {"cold_ms": 3000, "cold_per_s": rate}}
    context.rig.set_routes(gateway_lib.ROUTES, 2, services)
    context.rig.add_entry()
    add_targets(context, count)


@given("they report that they are in cold start for {cold_ms:d} ms")
def report_cold_start(context, cold_ms):
    for target in context.rig.farm.targets:
        target.warmup_ms = cold_ms


@when("their data centre is taken out and brought back")
def take_out_and_back(context):
    context.rig.take_out()
    context.rig.bring_back()


@then(
    "the first {count:d} targets got at most {most:d} in any second, probes "
    "included"
)
def check_cold_start_rate(context, count, most):
    for target in context.rig.farm.targets[:count]:
        times = sorted([a.at for a in target.arrivals] + target.probed_at)
        assert times
        for start in times:
            within = [at for at in times if start <= at < start + 1]
            assert len(within) <= most, (len(within), target.address)


@given('the next request at any target ends with "{behaviour}"')
def set_next(context, behaviour):
    pending = [behaviour]
    for target in context.rig.farm.targets:
        target.behaviours = pending


@given('every request at any target ends with "{behaviour}"')
def set_always(context, behaviour):
    for target in context.rig.farm.targets:
        target.default_behaviour = behaviour


@given("work of {work_ms:d} ms")
def set_work(context, work_ms):
    for target in context.rig.farm.targets:
        target.work_s = work_ms / 1000


@given("a timeout of {timeout_ms:d} ms")
def set_timeout(context, timeout_ms):
    routes = [
        route | {"timeout_ms": timeout_ms} for route in gateway_lib.ROUTES
    ]
    context.rig.set_routes(routes, 2)


@given("the routes have an objective of {objective_ms:d} ms")
def set_objective(context, objective_ms):
    routes = [
        route | {"objective_ms": objective_ms} for route in gateway_lib.ROUTES
    ]
    context.rig.set_routes(routes, 2)


@given("the first connection to a target does not open")
def hold_first_connection(context):
    upstream = context.rig.program.upstream
    open_connection = upstream.open
    context.connect_limits_ms = []

    async def open_later(address, timeout_ms):
        context.connect_limits_ms.append(
            min(timeout_ms, upstream_lib.CONNECT_TIMEOUT_MS)
        )
        if len(context.connect_limits_ms) > 1:
            return await open_connection(address, timeout_ms)
        await asyncio.sleep(context.connect_limits_ms[0] / 1000)
        return result.Failure(
            upstream_lib.ConnectError("it did not open", "see the target")
        )

    upstream.open = open_later
    # Probes would find the target unreachable first.
    for target in context.rig.program.targets.get("dossier"):
        target.note_no_load()


@then("connections to targets were given at most {most:d} ms to open")
def check_connect_limits(context, most):
    assert len(context.connect_limits_ms) == 2, context.connect_limits_ms
    assert max(context.connect_limits_ms) <= most, context.connect_limits_ms


@given("connections of callers may be unused for {idle_ms:d} ms")
def set_idle(context, idle_ms):
    context.rig.set_routes(gateway_lib.ROUTES, 2, idle_ms=idle_ms)


@when("{count:d} lookups are sent on it with pauses of {ms:d} ms")
def send_with_pauses(context, count, ms):
    context.answers = []
    for number in range(count):
        if number:
            time.sleep(ms / 1000)
        context.conn.send(path=f"/look/{number}")
        context.answers.append(context.conn.receive())


@then("the connection has ended")
def check_closed(context):
    assert context.conn.is_closed()


@when("another target joins")
def add_new_target(context):
    context.rig.add_target()


@then("the newest target got at least {least:d} of them")
def check_newest_target(context, least):
    got = len(context.rig.farm.targets[-1].arrivals)
    assert got >= least, got


@given("the first target reports that work takes {times:d} times as long")
def set_slow(context, times):
    context.rig.farm.targets[0].slow_percent = 100 * times


@given("one connection")
def open_connection(context):
    context.conn = context.rig.connect()
    context.add_cleanup(context.conn.close)


@given("an entry without routes")
def start_without_routes(context):
    context.rig = gateway_lib.Rig()
    context.add_cleanup(context.rig.close)


@when("a lookup is sent")
@when("that lookup is sent")
def look_up(context):
    context.answers = [context.rig.call()]


@when("a lookup with a deadline of {deadline_ms:d} ms is sent")
def look_up_with_deadline(context, deadline_ms):
    headers = {"deadline-ms": str(deadline_ms)}
    context.answers = [context.rig.call(**headers)]


@when(
    "a lookup is sent, and {after_ms:d} ms later the entry gets routes and a "
    "target"
)
def look_up_before_routes(context, after_ms):
    rig = context.rig

    def start_later():
        time.sleep(after_ms / 1000)
        rig.add_target()
        rig.set_routes(gateway_lib.ROUTES, 1)

    thread = threading.Thread(target=start_later)
    thread.start()
    look_up(context)
    thread.join()


@when("it has been without routes for {ms:d} ms")
@when("it is unused for {ms:d} ms")
def wait(context, ms):  # noqa: ARG001
    time.sleep(ms / 1000)


@when('a lookup is sent to "{path}"')
def look_up_at(context, path):
    context.answers = [context.rig.call(path=path)]


@when("a booking is sent")
def book(context):
    context.answers = [context.rig.call("POST", "/book/1", b"an urn")]


@when("{count:d} lookups are answered")
def look_up_repeatedly(context, count):
    for _ in range(count):
        assert context.rig.call().status == 200


@when("a booking is sent, and {ms:d} ms later the state of its target is read")
def book_and_read_state(context, ms):
    rig = context.rig
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(rig.call, "POST", "/book/1", b"an urn")
        time.sleep(ms / 1000)
        (context.state,) = rig.program.targets.dump().values()
        context.answers = [fut.result()]


@then("its target did not count as failing")
def check_not_failing(context):
    assert context.state["failures"] == 0, context.state


@then("its target counted as failing")
def check_failing(context):
    assert context.state["failures"] > 0, context.state


@when("{count:d} bookings are sent one after another")
def book_repeatedly(context, count):
    context.answers = {}
    for number in range(count):
        path = f"/book/{number}"
        context.answers[path] = context.rig.call("POST", path, b"an urn")


@then("each that a target got is answered {status:d}, any other 503 at once")
def check_each_status(context, status):
    reached = {
        arrival.path
        for target in context.rig.farm.targets
        for arrival in target.arrivals
    }
    for path, answer in context.answers.items():
        wanted = status if path in reached else 503
        assert answer.status == wanted, (path, path in reached, answer)
        if path not in reached:
            assert b"no time is left" in answer.body, answer
            assert "retry-after" in answer.headers, answer
    context.reached = len(reached & context.answers.keys())


@then("targets got at least {least:d} of them")
def check_reached(context, least):
    assert context.reached >= least, context.reached


@when("{count:d} lookups reach the entry")
def look_up_repeatedly(context, count):
    for target in context.rig.farm.targets:
        target.arrivals.clear()
    context.answers = [context.rig.call() for _ in range(count)]


@when("{count:d} lookups reach the entry concurrently")
def look_up_concurrently(context, count):
    context.peaks = collections.Counter()
    stop = time.monotonic() + 0.6
    futs = context.rig._pool.submit(context.rig.call_many, count)  # noqa: SLF001
    while time.monotonic() < stop:
        for target in context.rig.farm.targets:
            peak = max(context.peaks[target.instance], target.running)
            context.peaks[target.instance] = peak
        time.sleep(0.002)
    context.answers = futs.result(10)


@when("{count:d} lookups are pipelined on it")
def pipeline(context, count):
    paths = [f"/look/{number}" for number in range(count)]
    context.ids = [context.conn.send(path=path) for path in paths]


@when("a lookup is sent on it and its caller disconnects")
def send_and_disconnect(context):
    context.conn.send()
    wait_for_arrival(context)
    context.conn.close()
    context.disconnected_at = time.monotonic()


@when("the first target drains")
def drain(context):
    target = context.rig.farm.targets[0]
    context.rig.announce(target, state="draining")


@when("the data centre is taken out")
def take_out(context):
    context.rig.apply_rows(
        [
            control_pb2.Record(
                key=f"out/{gateway_lib.OWN_DATA_CENTRE}/",
                out=control_pb2.OutRecord(
                    data_centre=gateway_lib.OWN_DATA_CENTRE
                ),
            )
        ]
    )


@when("another start replaces the first target")
def restart_first_target(context):
    context.rig.farm.targets[0].instance = "i-other"


@when("the control group reports that a lookup crashed {count:d} targets")
def report_crash(context, count):
    digest = hashlib.blake2b(digest_size=16)
    for part in (b"GET", b"desk.example", b"/look/1", b""):
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    names = [f"target-{number}" for number in range(count)]
    context.rig.apply_rows(
        [
            control_pb2.Record(
                key=f"crash/{digest.hexdigest()}",
                crash=control_pb2.CrashRecord(targets=names),
            )
        ]
    )


@when("a lookup is sent on it and the entry is stopped")
def stop_entry(context):
    context.conn.send()
    wait_for_arrival(context)
    stopping = asyncio.run_coroutine_threadsafe(
        context.rig.program.stop(), context.rig.loop
    )
    context.answers = [context.conn.receive()]
    assert stopping.result(10), "a request was aborted"


@then("it got the complete answer with its seal")
def check_complete(context):
    (got,) = context.answers
    assert got.status == 200, got
    assert got.body == platform_targets.BODY, got
    request_id = got.headers["request-id"]
    assert got.headers["response-seal"] == f"seal-{request_id}", got


@then("the target received its id, its instance and a deadline within its time")
def check_forwarded(context):
    (arrival,) = all_arrivals(context)
    (got,) = context.answers
    assert arrival.request_id == got.headers["request-id"]
    assert arrival.headers["expect-instance"].startswith("i-")
    assert 0 < int(arrival.headers["deadline-ms"]) <= 2000
    assert arrival.headers["host"] == "desk.example"


@then("targets ran it at most {count:d} times")
@then("targets ran it at most {count:d} time")
def check_runs(context, count):
    ran = [arrival for arrival in all_arrivals(context) if arrival.ran]
    assert len(ran) <= count, ran


@then("its status is {status:d}")
def check_status(context, status):
    (got,) = context.answers
    assert got.status == status, got


@then("its answer has a Retry-After header")
def check_retry_after(context):
    (got,) = context.answers
    assert 0 < float(got.headers["retry-after"]) < 2, got


@then("its answer took {least_ms:d} to {most_ms:d} ms")
def check_time(context, least_ms, most_ms):
    (got,) = context.answers
    assert least_ms <= got.took_s * 1000 <= most_ms, got


@then("{count:d} complete answers arrive in order")
def check_order(context, count):
    got = [context.conn.receive() for _ in range(count)]
    assert [a.headers["request-id"] for a in got] == context.ids, got
    assert all(a.body == platform_targets.BODY for a in got), got


@then("the target sees the disconnect within {most_ms:d} ms")
def check_disconnect(context, most_ms):
    (arrival,) = context.rig.farm.targets[0].arrivals
    while not arrival.is_cancelled:
        waited_ms = (time.monotonic() - context.disconnected_at) * 1000
        assert waited_ms < most_ms, "the target still works"
        time.sleep(0.005)


@then("the first target got none of them")
def check_first_got_none(context):
    assert not context.rig.farm.targets[0].arrivals


@then("the second target got none of them")
def check_second_got_none(context):
    assert not context.rig.farm.targets[1].arrivals


@then("the first target ran none of them")
def check_first_ran_none(context):
    assert not any(a.ran for a in context.rig.farm.targets[0].arrivals)


@then("all of them were answered completely")
def check_all_complete(context):
    statuses = collections.Counter(a.status for a in context.answers)
    assert set(statuses) == {200}, statuses


@then("no target ran more than {most:d} at a time")
def check_slots(context, most):
    assert max(context.peaks.values()) <= most, context.peaks
    assert {answer.status for answer in context.answers} == {200}


@then("the first target got at most {most:d} in any second")
def check_rate(context, most):
    times = [a.at for a in context.rig.farm.targets[0].arrivals]
    for start in times:
        count = sum(start <= at < start + 1 for at in times)
        assert count <= most, count


@then("the connection ends with it")
def check_closed_with_answer(context):
    (got,) = context.answers
    assert got.headers["connection"] == "close", got
    assert context.conn.is_closed()


@when(
    "{rate:d} lookups a second arrive for {seconds:d} s, of which {fresh:d} a "
    "second can be in time"
)
def send_at_rate(context, rate, seconds, fresh):
    rig, full_ms = context.rig, 4000
    futs = {True: [], False: []}
    with concurrent.futures.ThreadPoolExecutor(rate * seconds) as pool:
        for number in range(rate * seconds):
            in_time = number % (rate // fresh) == 0
            # A late lookup is a resend of a caller that has waited before.
            remaining_ms = full_ms if in_time else full_ms - 1000 - number
            headers = {"deadline-ms": str(remaining_ms)}
            futs[in_time].append(pool.submit(rig.call, **headers))
            time.sleep(1 / rate)
        context.answers_by_in_time = {
            in_time: [fut.result(60) for fut in futs[in_time]]
            for in_time in futs
        }


@then("of those that can be in time {part:d} in 10 are")
def check_in_time(context, part):
    answers = context.answers_by_in_time[True]
    objective_s = gateway_lib.ROUTES[0]["objective_ms"] / 1000
    good = [a for a in answers if a.status == 200 and a.took_s <= objective_s]
    seen = [(a.status, round(a.took_s, 2), a.body[:40]) for a in answers]
    route = context.rig.program.session.view.table.match(
        "desk.example", "/look/1"
    )
    expected_ms = context.rig.program.targets.expect_ms("dossier", route)
    assert len(good) * 10 >= part * len(answers), (len(good), expected_ms, seen)


@then(
    "{part:d} in 10 of what the targets can run in {seconds:d} s at "
    "{work_ms:d} ms are answered"
)
def check_utilization(context, part, seconds, work_ms):
    slots = sum(target.slots for target in context.rig.farm.targets)
    most = slots * seconds * 1000 / work_ms
    answers = (
        context.answers_by_in_time[True] + context.answers_by_in_time[False]
    )
    good = [answer for answer in answers if answer.status == 200]
    assert len(good) * 10 >= part * most, (len(good), most)


@then("no rejected lookup took over {most_ms:d} ms")
def check_rejected_quickly(context, most_ms):
    refused = [a for a in context.answers_by_in_time[False] if a.status == 503]
    assert all(a.took_s * 1000 <= most_ms for a in refused), refused
    assert all("retry-after" in a.headers for a in refused), refused


@given("an entry behind a link of {rate:d} bytes a second")
def start_behind_link(context, rate):
    context.rig = gateway_lib.Rig(link_bytes_per_s=rate)
    context.add_cleanup(context.rig.close)
    context.rig.set_routes(gateway_lib.ROUTES, 1)


@given("a target that has reported its load")
def add_target_with_load(context):
    context.rig.add_target()
    assert context.rig.call().status == 200


@when("it is slowed for {ms:d} ms from the head of the next booking on")
def slow_from_next_head(context, ms):
    context.rig.farm.targets[0].slowed_ms = ms


@when("the target answers the next booking before its last byte")
def set_early_answer(context):
    context.rig.farm.targets[0].answers_early = True


@when("a booking of {size:d} bytes is sent")
def book_with_size(context, size):
    context.answers = [context.rig.call("POST", "/book/1", b"x" * size)]


@then(
    "the target received its last byte {least:d} to {most:d} ms after its head"
)
def check_held(context, least, most):
    target = context.rig.farm.targets[0]
    arrival = target.arrivals[-1]
    held_ms = 1000 * (arrival.at - arrival.head_at)
    assert least <= held_ms <= most, held_ms


@when("a booking of {size:d} bytes is sent on it and its caller disconnects")
def book_and_disconnect(context, size):
    target = context.rig.farm.targets[0]
    target.arrivals.clear()
    context.conn.send("POST", "/book/1", b"x" * size)
    until = time.monotonic() + 5
    while not target.slowed_until and time.monotonic() < until:
        time.sleep(0.002)
    assert target.slowed_until, "the target did not receive the head"
    context.conn.close()


@then("no target received the complete booking")
def check_incomplete(context):
    # Longer than the last byte of a request is held back.
    time.sleep(0.6)
    assert not all_arrivals(context), all_arrivals(context)
