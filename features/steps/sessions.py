"""Steps of an entry's session, with control VMs that cannot be reached."""

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
from cardamomkeel.control import channels as channels_lib
from cardamomkeel.control import client as client_lib
from cardamomkeel.control import signal
from cardamomkeel.control import stream_server as stream_server_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.settings import process
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2

NOBODY = "127.0.0.1:1"
# Longer than any of these scenarios allows.
WITHIN_S = 10.0
# Several questions, or attempts to join, fit into this.
WAIT_S = 0.7


def make_settings(controls=(NOBODY,)):
    return process.EntrySettings(
        name="entry-1",
        data_centre="brest",
        callers_address=NOBODY,
        entries_address=NOBODY,
        operators_address=NOBODY,
        secret_file="-",
        control={address: address for address in controls},
    )


def make_session(context, keeps_view):
    cfg = make_settings()
    clk = clock.MonotonicClock()
    client = client_lib.ControlClient([NOBODY], {}, clk)
    session = session_lib.Session(
        cfg, client, clk, lambda: None, keeps_view=keeps_view
    )
    context.asked = 0
    for owner, name in (
        (client._channels, "call"),
        (session._poll_stream, "ask"),
    ):
        count_calls(context, owner, name)
    return session


def count_calls(context, owner, name):
    func = getattr(owner, name)

    async def counted(*args, **kwargs):
        context.asked += 1
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
            context.before = context.asked
            await asyncio.sleep(WAIT_S)
            tasks.cancel_scope.cancel()

    asyncio.run(run())


@then("it still asks control VMs")
def check_asks(context):
    assert context.asked > context.before, context.asked


@when("its task group is cancelled")
def cancel_group(context):
    async def run():
        session = make_session(context, context.keeps)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(session.run)
            await asyncio.sleep(WAIT_S)
            tasks.cancel_scope.cancel()
        context.before = context.asked
        await asyncio.sleep(WAIT_S)

    asyncio.run(run())


@then("it asks nobody any more")
def check_silent(context):
    assert context.before
    assert context.asked == context.before


@when("{count:d} entries begin")
def begin(context, count):
    cfg = make_settings([f"127.0.0.1:{port}" for port in (1, 2, 3)])
    clk = clock.MonotonicClock()
    context.first = collections.Counter(
        session_lib.Session(cfg, None, clk, lambda: None)._choose_address()
        for _ in range(count)
    )


@then(
    "they ask each of {controls:d} control VMs first at least {least:d} times"
)
def check_spread(context, controls, least):
    assert len(context.first) == controls, context.first
    assert min(context.first.values()) >= least, context.first


class _FakePollStream:
    """Answers for control VMs of three data centres, at once or not at all."""

    address = ""
    failure = "silent"
    # The session asks again at once, without a wait for news.
    is_open = False

    def __init__(self, places):
        self.activity = signal.Signal()
        self.places = places
        self.silent = set()
        self.asked = []

    async def run(self, *, task_status):
        task_status.started()
        await anyio.sleep_forever()

    async def poll(self, address, _req, _timeout_ms):
        place = self.places[address]
        self.asked.append(place)
        await anyio.sleep(0)
        if place in self.silent:
            return None
        return control_pb2.FollowReply(lease_ms=3000, data_centre=place)

    def close(self):
        """Has nothing to close."""


@given("an entry of brest that knows control VMs of brest, vannes and rennes")
def set_places(context):
    places = ("brest", "vannes", "rennes")
    context.places = {f"127.0.0.1:{n}": p for n, p in enumerate(places, 1)}


@when("those of brest and {other} stop answering")
def silence_two(context, other):
    context.asked = [
        asyncio.run(_silence_two(context, other, turn)) for turn in range(3)
    ]


async def _silence_two(context, other, turn):
    """Returns whom an entry asks once two do not answer any more."""
    session = session_lib.Session(
        make_settings(list(context.places)),
        None,
        clock.MonotonicClock(),
        lambda: None,
        keeps_view=True,
    )
    poll_stream = session._poll_stream = _FakePollStream(context.places)
    poll_stream.silent = {"brest", other}
    session._next_index = turn
    session._is_joining = True
    session._data_centres = dict(context.places)
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(session.run)
        await asyncio.sleep(WAIT_S)
        tasks.cancel_scope.cancel()
    return poll_stream.asked


@then(
    "it has asked the one of {left} after at most {most:d} that do not answer"
)
def check_asked(context, left, most):
    for asked in context.asked:
        silent = [place for place in asked if place != left]
        assert left in asked, asked[:5]
        assert asked.index(left) <= most, asked[:5]
        assert len(silent) <= most, asked[:5]


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
    """Grants what it is asked for."""

    def is_leader(self):
        """Tells whether leases are granted here."""
        return True

    async def renew(self, polls):  # noqa: ARG002
        """Grants a lease of a second."""
        return stream_server_lib.LeaseGrant(1000, 1, 500, 1)


class _FakeControlService(control_grpc.ControlBase):
    """A control VM of which only the rows can be followed."""

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
    context.members = [[NOBODY]]
    context.instances = count
    context.wait_ms = process.Timings().poll_timeout_ms


@given("a link to it that carries {rate:d} bytes a second")
def set_slow_link(context, rate):
    context.relays = relay_lib.Relays()
    context.add_cleanup(context.relays.close)
    context.bytes_per_s = rate


@given("answers that an entry without rows may wait {wait_ms:d} ms for")
def set_wait(context, wait_ms):
    before = session_lib.FIRST_ROWS_TIMEOUT_MS
    session_lib.FIRST_ROWS_TIMEOUT_MS = wait_ms
    context.wait_ms = wait_ms
    context.add_cleanup(setattr, session_lib, "FIRST_ROWS_TIMEOUT_MS", before)


@when("an entry begins that asks the first of them")
def begin_at_first(context):
    context.took_ms = asyncio.run(_begin_at_first(context))


def reach(context, addresses):
    """Returns the relays to control VMs, where their link is slow."""
    if not hasattr(context, "bytes_per_s"):
        return {}
    return {
        address: context.relays.add(
            "entry", address, address, context.bytes_per_s
        )
        for address in addresses
    }


async def _begin_at_first(context):
    clk = clock.MonotonicClock()
    addresses = [deployment_lib.free_address() for _ in context.members]
    cfg = make_settings(addresses)
    timings = process.Timings(poll_timeout_ms=context.wait_ms, lease_ms=20_000)
    instances = getattr(context, "instances", 0)
    cfg = cfg.model_copy(
        update={"timings": timings, "reach": reach(context, addresses)}
    )
    client = client_lib.ControlClient([NOBODY], {}, clk)
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
            await server.start(*channels_lib.split_address(address))
            servers.append(server)
        tasks.start_soon(session.run)
        with anyio.move_on_after(WITHIN_S):
            while not session.view.entries:
                await asyncio.sleep(0.005)
        took_ms = clk.now() - began
        context.got_instances = len(session.view.instances)
        for server in servers:
            server.close()
        tasks.cancel_scope.cancel()
    return took_ms


@then("it has rows within {most_ms:d} ms")
def check_rows(context, most_ms):
    assert context.took_ms <= most_ms, context.took_ms


@then("it has the rows of {count:d} backend servers within {most_ms:d} ms")
def check_instances(context, count, most_ms):
    assert context.got_instances == count, context.got_instances
    check_rows(context, most_ms)
