"""Steps about the forming of a group by its first control VMs."""

import asyncio
import contextlib
import pathlib
import shutil
import tempfile

from behave import given
from behave import then

from bench import deployment as deployment_lib
from cardamomkeel import clock
from cardamomkeel.control import formation as formation_lib
from cardamomkeel.control import grpc_server as grpc_server_lib
from cardamomkeel.replication import disk
from cardamomkeel.replication import members as members_lib
from cardamomkeel.settings import addresses
from cardamomkeel.wire import control_pb2

REPLIES = {
    "running in term 2": control_pb2.GreetReply(
        member_id="control-2.first", term=2, formed=True
    ),
    "running under a new id": control_pb2.GreetReply(
        member_id="control-2.other", formed=True
    ),
    "formed, but not yet running": control_pb2.GreetReply(
        member_id="control-2.first", formed=True
    ),
}
REPLIES["waiting to join under a new id"] = REPLIES["running under a new id"]
REPLIES["not running"] = control_pb2.GreetReply(member_id="control-2.first")
# Time for some greetings of a member.
GREETINGS_MS = 5 * formation_lib.GREET_PAUSE_MS


class Peer(formation_lib._FormationService):  # noqa: SLF001
    """Another member, which answers each greeting alike."""

    def __init__(self, reply):
        super().__init__(control_pb2.HardState())
        self.reply = reply

    async def Greet(self, stream):  # noqa: N802
        """Answers a greeting."""
        await stream.recv_message()
        await stream.send_message(self.reply)


def make(context, formed):
    names = ["control-1", "control-2", "control-3"]
    context.addresses = {n: deployment_lib.free_address() for n in names}
    context.folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
    context.add_cleanup(shutil.rmtree, context.folder)
    first = members_lib.initial_members(context.addresses)
    member_id = members_lib.member_id("control-1", "first")
    folder = context.folder / "data"
    disk.create(folder, member_id, first, formed=formed)
    context.formation = formation_lib.Formation(
        folder,
        "control-1",
        context.addresses,
        {},
        control_pb2.HardState(member_id=member_id, formed=formed),
        clock.MonotonicClock(),
    )


@given("a control VM that has formed a group of 3")
def make_formed(context):
    make(context, formed=True)


@given("a control VM that has not formed a group of 3")
def make_unformed(context):
    make(context, formed=False)


@given("another member that is {state}, and a third that is lost")
def set_peer(context, state):
    context.reply = REPLIES[state]


@given(
    "a third member that is lost, and another that is {first}, then {second}"
)
def set_changing_peer(context, first, second):
    context.reply = REPLIES[second]
    context.first_reply = REPLIES[first]


@given(
    "another member that is {state}, and a third that waits to join under a "
    "new id"
)
def set_peer_and_joining(context, state):
    set_peer(context, state)
    context.third = control_pb2.GreetReply(
        member_id="control-3.other", formed=True
    )


@given(
    "another member that waits to join under a new id, and a third that does "
    "so too"
)
def set_two_joining(context):
    set_peer_and_joining(context, "waiting to join under a new id")


async def start_peer(context, reply, name="control-2"):
    server = grpc_server_lib.make_server([Peer(reply)], clock.MonotonicClock())
    await server.start(*addresses.split(context.addresses[name]))
    return server


def run(context, ms):
    """Returns whether the formation ended within a time."""

    async def form():
        forming = asyncio.ensure_future(context.formation.run())
        if "first_reply" in context:
            server = await start_peer(context, context.first_reply)
            await asyncio.sleep(GREETINGS_MS / 1000)
            server.close()
        servers = [await start_peer(context, context.reply)]
        if "third" in context:
            third = await start_peer(context, context.third, "control-3")
            servers.append(third)
        try:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(forming, ms / 1000)
                return True
            return False
        finally:
            for server in servers:
                server.close()

    return asyncio.run(form())


@then("this one starts within {ms:d} ms")
def check_starts(context, ms):
    assert run(context, ms)


@then("this one does not start within {ms:d} ms")
def check_waits(context, ms):
    assert not run(context, ms)


@then("this one joins under a new id within {ms:d} ms")
def check_joins(context, ms):
    assert run(context, ms)
    stored = disk.load(context.folder / "data").unwrap()
    assert not stored.hard_state.member_id.endswith(".first"), stored


@then("this one forms the group within {ms:d} ms")
def check_forms(context, ms):
    assert run(context, ms)
    stored = disk.load(context.folder / "data").unwrap()
    assert stored.hard_state.formed, stored
    assert stored.hard_state.member_id.endswith(".first"), stored
