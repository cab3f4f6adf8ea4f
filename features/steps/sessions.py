"""Steps for the session of an entry with unreachable control VMs."""

import asyncio
import collections
import secrets

import anyio
from behave import given
from behave import then
from behave import when
from grpclib import server as grpc_server

from bench import deployment as deployment_lib
from bench import relay as relay_lib
from cardamomkeel import clock
from cardamomkeel.control import client as client_lib
from cardamomkeel.control import signal
from cardamomkeel.control import stream_server as stream_server_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.settings import addresses as addresses_lib
from cardamomkeel.settings import process
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2

UNREACHABLE = "127.0.0.1:1"
# Longer than the limits in these scenarios.
WITHIN_S = 10.0
# Enough time for several polls or attempts to join.
WAIT_S = 0.7


def make_settings(controls=(UNREACHABLE,)):
    return process.EntrySettings(
        name="entry-1",
        data_centre="brest",
        callers_address=UNREACHABLE,
        entries_address=UNREACHABLE,
        operators_address=UNREACHABLE,
        secret_file="-",
        control={address: address for address in controls},
    )


def make_session(context, keeps_view):
    cfg = make_settings()
    clk = clock.MonotonicClock()
    client = client_lib.ControlClient([UNREACHABLE], {}, clk)
    session = session_lib.Session(
        cfg, client, clk, lambda: None, keeps_view=keeps_view
    )
    context.calls = 0
    for owner, name in (
        (client._channels, "call"),
        (session._poll_stream, "poll"),
    ):
        count_calls(context, owner, name)
    return session


def count_calls(context, owner, name):
    func = getattr(owner, name)

    async def counted(*args, **kwargs):
        context.calls += 1
        return await func(*args, **kwargs)

    setattr(owner, name, counted)


@given(
    "an entry that {keeps} its rows without a session, and control VMs that "
    "refuse"
)
def make(context, keeps):
    context.keeps = keeps == "keeps"


ERRORS = {
    "CancelledError": asyncio.CancelledError,
    "RuntimeError": RuntimeError,
}


@when("its first attempt to join ends with {error}")
def fail_join(context, error):
    async def run():
        session = make_session(context, context.keeps)
        propose = session._client.propose

        async def failing(*args, **kwargs):  # noqa: ARG001
            session._client.propose = propose
            raise ERRORS[error]

        session._client.propose = failing
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            await asyncio.sleep(WAIT_S)
            context.calls_before = context.calls
            await asyncio.sleep(WAIT_S)
            tasks.cancel_scope.cancel()

    asyncio.run(run())


@then("it still calls control VMs")
def check_calls(context):
    assert context.calls > context.calls_before, context.calls


@when("its task group is cancelled")
def cancel_group(context):
    async def run():
        session = make_session(context, context.keeps)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            await asyncio.sleep(WAIT_S)
            tasks.cancel_scope.cancel()
        context.calls_before = context.calls
        await asyncio.sleep(WAIT_S)

    asyncio.run(run())


@then("it calls no control VM any more")
def check_no_calls(context):
    assert context.calls_before
    assert context.calls == context.calls_before


@when("{count:d} entries start")
def start(context, count):
    cfg = make_settings([f"127.0.0.1:{port}" for port in (1, 2, 3)])
    clk = clock.MonotonicClock()
    context.first = collections.Counter(
        session_lib.Session(cfg, None, clk, lambda: None)._choose_address()
        for _ in range(count)
    )


@then(
    "each of {controls:d} control VMs is called first at least {least:d} times"
)
def check_spread(context, controls, least):
    assert len(context.first) == controls, context.first
    assert min(context.first.values()) >= least, context.first


class _FakePollStream:
    """Answers for the control VMs of three data centres.

    Unresponsive control VMs get no answer, the others answer at once.
    """

    address = ""
    failure = "silent"
    # The session polls again at once instead of waiting for changes.
    is_open = False

    def __init__(self, places):
        self.activity = signal.Signal()
        self.places = places
        self.unresponsive = set()
        self.polled = []

    async def run(self, *, task_status):
        task_status.started()
        await anyio.sleep_forever()

    async def poll(self, address, _req, _timeout_ms):
        place = self.places[address]
        self.polled.append(place)
        await anyio.sleep(0)
        if place in self.unresponsive:
            return None
        return control_pb2.FollowReply(lease_ms=3000, data_centre=place)

    def close(self):
        """Does nothing, since no stream is open."""


@given("an entry of brest that knows control VMs of brest, vannes and rennes")
def set_places(context):
    places = ("brest", "vannes", "rennes")
    context.places = {f"127.0.0.1:{n}": p for n, p in enumerate(places, 1)}


@when("those of brest and {other} stop answering")
def stop_two(context, other):
    context.polled = [
        asyncio.run(_stop_two(context, other, turn)) for turn in range(3)
    ]


async def _stop_two(context, other, turn):
    """Returns the polled data centres after two have become unresponsive."""
    session = session_lib.Session(
        make_settings(list(context.places)),
        None,
        clock.MonotonicClock(),
        lambda: None,
        keeps_view=True,
    )
    poll_stream = session._poll_stream = _FakePollStream(context.places)
    poll_stream.unresponsive = {"brest", other}
    session._next_index = turn
    session._is_joining = True
    session._data_centres = dict(context.places)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(session.run)
        await asyncio.sleep(WAIT_S)
        tasks.cancel_scope.cancel()
    return poll_stream.polled


@then(
    "it has polled the one of {remaining} after at most {most:d} unresponsive "
    "ones"
)
def check_polled(context, remaining, most):
    for polled in context.polled:
        unresponsive = [place for place in polled if place != remaining]
        assert remaining in polled, polled[:5]
        assert polled.index(remaining) <= most, polled[:5]
        assert len(unresponsive) <= most, polled[:5]


def make_instance(number):
    return control_pb2.InstanceRecord(
        address=f"10.{number % 3}.{number // 250}.{number % 250}:8080",
        instance=f"i-{secrets.token_hex(8)}",
        born_ms=1_700_000_000_000 + number,
        service="dossier",
        data_centre="brest",
        slots=3,
        state="ready",
    )


class _FakeRenewer:
    """Grants all leases."""

    def is_leader(self):
        """Returns whether leases are granted here."""
        return True

    async def renew(self, polls):  # noqa: ARG002
        """Grants leases of one second."""
        return stream_server_lib.LeaseGrant(1000, 1, 500, 1)


class _FakeControlService(control_grpc.ControlBase):
    """A control VM that serves only streams of rows."""

    def __init__(self, members, instances=0):
        rows = tables_lib.Tables()
        for number in range(instances):
            row = make_instance(number)
            rows.put(f"instance/{row.address}", number + 1, instance=row)
        if members:
            index = instances + 1
            rows.put("entry/7", index, entry=control_pb2.EntryRecord(name="e"))
        clk = clock.MonotonicClock()
        self.stream_server = stream_server_lib.StreamServer(
            lambda: rows, _FakeRenewer(), 20_000, clk, lambda: members
        )

    async def Follow(self, stream):  # noqa: N802
        """Serves one stream."""
        await self.stream_server.serve(stream)

    async def _refuse(self, stream):
        raise NotImplementedError

    Announce = ChangeMembers = Propose = Read = _refuse


@given("a control VM that knows no group yet, and two that have rows")
def set_controls(context):
    context.members = [[], ["a", "b"], ["a", "b"]]


@given("a control VM that has rows of {count:d} backend servers")
def set_full_control(context, count):
    context.members = [[UNREACHABLE]]
    context.instances = count
    context.wait_ms = process.Timings().poll_timeout_ms


@given("a link to it with {rate:d} bytes per second")
def set_slow_link(context, rate):
    context.relays = relay_lib.Relays()
    context.add_cleanup(context.relays.close)
    context.bytes_per_s = rate


@given("a timeout of {wait_ms:d} ms for the first rows of an entry")
def set_wait(context, wait_ms):
    before = session_lib.FIRST_ROWS_TIMEOUT_MS
    session_lib.FIRST_ROWS_TIMEOUT_MS = wait_ms
    context.wait_ms = wait_ms
    context.add_cleanup(setattr, session_lib, "FIRST_ROWS_TIMEOUT_MS", before)


@when("an entry starts and polls the first of them")
def start_at_first(context):
    context.elapsed_ms = asyncio.run(_start_at_first(context))


def reach(context, addresses):
    """Returns the relays to the control VMs; empty without a slow link."""
    if not hasattr(context, "bytes_per_s"):
        return {}
    return {
        address: context.relays.add(
            "entry", address, address, context.bytes_per_s
        )
        for address in addresses
    }


async def _start_at_first(context):
    clk = clock.MonotonicClock()
    addresses = [deployment_lib.free_address() for _ in context.members]
    cfg = make_settings(addresses)
    timings = process.Timings(poll_timeout_ms=context.wait_ms, lease_ms=20_000)
    instances = getattr(context, "instances", 0)
    cfg = cfg.model_copy(
        update={"timings": timings, "reach": reach(context, addresses)}
    )
    client = client_lib.ControlClient([UNREACHABLE], {}, clk)
    session = session_lib.Session(
        cfg, client, clk, lambda: None, keeps_view=True
    )
    session._next_index = 0
    began = clk.now()
    async with anyio.create_task_group() as tasks:
        servers = []
        for address, members in zip(addresses, context.members, strict=True):
            service = _FakeControlService(members, instances)
            tasks.start_soon(service.stream_server.run)
            server = grpc_server.Server([service])
            await server.start(*addresses_lib.split(address))
            servers.append(server)
        tasks.start_soon(session.run)
        with anyio.move_on_after(WITHIN_S):
            while not session.view.entries:
                await asyncio.sleep(0.005)
        elapsed_ms = clk.now() - began
        context.got_instances = len(session.view.instances)
        for server in servers:
            server.close()
        tasks.cancel_scope.cancel()
    return elapsed_ms


@then("it has rows within {most_ms:d} ms")
def check_rows(context, most_ms):
    assert context.elapsed_ms <= most_ms, context.elapsed_ms


@then("it has the rows of {count:d} backend servers within {most_ms:d} ms")
def check_instances(context, count, most_ms):
    assert context.got_instances == count, context.got_instances
    check_rows(context, most_ms)
