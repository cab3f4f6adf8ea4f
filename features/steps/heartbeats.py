"""Steps of what control VMs keep of announcements."""

import asyncio
import types

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel.control import instance_registry as registry_lib
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.state.commands import instances
from cardamomkeel.wire import control_pb2

ADDRESS = "10.1.0.9:8080"
ELECTION_MS = 300


class FakeReplica:
    """A member that follows a leader, or leads."""

    def __init__(self, clk, leads):
        self._clock = clk
        self._heard_at = clk.now()
        self.is_leader = self.is_ready = leads
        self.leader = "control-1.first"

    def has_leader_contact(self, now):
        """Tells whether the leader was heard lately."""
        return self.is_leader or now < self._heard_at + ELECTION_MS

    def hear(self):
        """Hears the leader."""
        self._heard_at = self._clock.now()


class FakeNode:
    """A control VM that commits at once."""

    def __init__(self, clk, leads):
        self.replica = FakeReplica(clk, leads)
        self.tables = tables_lib.Tables()
        self.index = 0

    async def propose(self, commands):
        """Applies commands."""
        for command in commands:
            self.index += 1
            if command.HasField("instances_seen"):
                seen = command.instances_seen
                instances.record_announcements(self.tables, seen, self.index)
            else:
                gone = command.instances_gone
                instances.remove(self.tables, gone, self.index)
        return [control_pb2.CommandResult()]


def make_told(context, **changes):
    context.sequence += 1
    fields = {
        "address": ADDRESS,
        "instance": "i-1",
        "born_ms": 1_700_000_000_000,
        "sequence": context.sequence,
        "service": "dossier",
        "data_centre": "brest",
        "slots": 3,
        "state": "ready",
    }
    return control_pb2.InstanceRecord(**(fields | changes))


def make_vm(context, leads):
    node = FakeNode(context.clock, leads)
    told = control_pb2.InstancesSeen(instances=[make_told(context)])
    instances.record_announcements(node.tables, told, 1)
    return types.SimpleNamespace(
        node=node, registry=registry_lib.InstanceRegistry(node, context.clock)
    )


@given("a control VM that does not lead, and a backend server that it knows")
def make(context):
    context.clock = clock.ManualClock()
    context.sequence = 0
    context.vm = make_vm(context, leads=False)


@given("a control VM that leads and knows it too")
def make_leader(context):
    context.leader = make_vm(context, leads=True)
    asyncio.run(look(context))


async def look(context):
    """Has the leader look for silent servers, as it does each second."""
    registry = context.leader.registry
    now = context.clock.now()
    if registry._leader_since is None:
        registry._leader_since = now
    await registry._remove_unresponsive(now)


@when("the backend server announces itself as before")
def announce(context):
    context.told = make_told(context)
    context.answered = context.vm.registry.acknowledge_locally(context.told)


CHANGES = {
    "that it drains": {"state": "draining"},
    "another start": {"born_ms": 1_700_000_009_000, "sequence": 1},
    "another number of slots": {"slots": 6},
    "a cold start": {"cold_ms": 3000},
}


@when("the backend server announces {news}")
def announce_news(context, news):
    told = make_told(context, **CHANGES[news])
    context.answered = context.vm.registry.acknowledge_locally(told)


@when("no leader is heard for {ms:d} ms")
def pass_unheard(context, ms):
    context.clock.advance(ms)


@when("the leader can't be told")
def fail_to_tell(context):
    registry = context.vm.registry
    failed = registry.pop_unreported()
    assert failed
    registry.restore_unreported(failed)


@when("{ms:d} ms pass, and the leader is told that it was heard")
def pass_and_tell(context, ms):
    pass_time(context, ms)
    context.vm.node.replica.hear()
    announce(context)
    unreported = context.vm.registry.pop_unreported()
    done = asyncio.run(context.leader.registry.announce(unreported))
    assert done is True


@when("{ms:d} ms pass")
def pass_time(context, ms):
    context.clock.advance(ms)
    asyncio.run(look(context))


@then("it is answered here")
def check_answered(context):
    assert context.answered


@then("the leader is asked")
def check_asked(context):
    assert not context.answered
    assert not context.vm.registry.pop_unreported()


@then("the leader is told of it with the next others")
@then("the leader is told once, of the newest")
def check_told(context):
    (told,) = context.vm.registry.pop_unreported()
    assert told == context.told, told
    assert not context.vm.registry.pop_unreported()


@then("the leader has not forgotten it")
def check_known(context):
    assert instances.find(context.leader.node.tables, ADDRESS)


@then("the leader has forgotten it")
def check_forgotten(context):
    assert not instances.find(context.leader.node.tables, ADDRESS)
