"""Steps for the registry of announced backend servers."""

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
    """The replica of a leader or of a follower."""

    def __init__(self, clk, is_leader):
        self._clock = clk
        self._leader_seen_at = clk.now()
        self.is_leader = self.is_ready = is_leader
        self.leader = "control-1.first"

    def has_leader_contact(self, now):
        """Returns whether the leader was seen within an election timeout."""
        return self.is_leader or now < self._leader_seen_at + ELECTION_MS

    def record_leader_contact(self):
        """Records contact to the leader."""
        self._leader_seen_at = self._clock.now()


class FakeNode:
    """A control VM that commits commands immediately."""

    def __init__(self, clk, is_leader):
        self.replica = FakeReplica(clk, is_leader)
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


def make_announcement(context, **changes):
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


def make_vm(context, is_leader):
    node = FakeNode(context.clock, is_leader)
    seen = control_pb2.InstancesSeen(instances=[make_announcement(context)])
    instances.record_announcements(node.tables, seen, 1)
    return types.SimpleNamespace(
        node=node, registry=registry_lib.InstanceRegistry(node, context.clock)
    )


@given("a follower, and a backend server that it knows")
def make(context):
    context.clock = clock.ManualClock()
    context.sequence = 0
    context.vm = make_vm(context, is_leader=False)


@given("a leader that knows it too")
def make_leader(context):
    context.leader = make_vm(context, is_leader=True)
    asyncio.run(check_instances(context))


async def check_instances(context):
    """Runs the periodic check of the leader for unresponsive servers."""
    registry = context.leader.registry
    now = context.clock.now()
    if registry._leader_since is None:
        registry._leader_since = now
    await registry._remove_unresponsive(now)


@when("the backend server announces itself as before")
def announce(context):
    context.announcement = make_announcement(context)
    context.acknowledged = context.vm.registry.acknowledge_locally(
        context.announcement
    )


CHANGES = {
    "that it drains": {"state": "draining"},
    "another start": {"born_ms": 1_700_000_009_000, "sequence": 1},
    "another number of slots": {"slots": 6},
    "a cold start": {"cold_ms": 3000},
}


@when("the backend server announces {change}")
def announce_change(context, change):
    record = make_announcement(context, **CHANGES[change])
    context.acknowledged = context.vm.registry.acknowledge_locally(record)


@when("the follower has no contact to a leader for {ms:d} ms")
def pass_without_leader(context, ms):
    context.clock.advance(ms)


@when("a report to the leader fails")
def fail_report(context):
    registry = context.vm.registry
    failed = registry.pop_unreported()
    assert failed
    registry.restore_unreported(failed)


@when("{ms:d} ms pass, and a report with it reaches the leader")
def pass_and_report(context, ms):
    pass_time(context, ms)
    context.vm.node.replica.record_leader_contact()
    announce(context)
    unreported = context.vm.registry.pop_unreported()
    done = asyncio.run(context.leader.registry.announce(unreported))
    assert done is True


@when("{ms:d} ms pass")
def pass_time(context, ms):
    context.clock.advance(ms)
    asyncio.run(check_instances(context))


@then("the follower acknowledges it")
def check_acknowledged(context):
    assert context.acknowledged


@then("it is sent to the leader")
def check_sent_to_leader(context):
    assert not context.acknowledged
    assert not context.vm.registry.pop_unreported()


@then("the next report to the leader has this announcement")
@then("the next report to the leader has only the newest announcement")
def check_next_report(context):
    (reported,) = context.vm.registry.pop_unreported()
    assert reported == context.announcement, reported
    assert not context.vm.registry.pop_unreported()


@then("the leader has not removed it")
def check_known(context):
    assert instances.find(context.leader.node.tables, ADDRESS)


@then("the leader has removed it")
def check_removed(context):
    assert not instances.find(context.leader.node.tables, ADDRESS)
