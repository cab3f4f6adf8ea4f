"""Steps for the hand-over of leadership between nodes of one process."""

import random

import anyio
from behave import given
from behave import then
from behave import when
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import node as node_lib
from cardamomkeel.replication import election_timer
from cardamomkeel.replication import members as members_lib
from cardamomkeel.replication import storage as storage_lib
from cardamomkeel.wire import control_pb2

# The methods of a replica that handle calls, by gRPC method.
HANDLERS = {
    "Append": "handle_append",
    "Vote": "handle_vote",
    "InstallSnapshot": "handle_snapshot",
}
# The calls that are lost, by case: gRPC method and number of calls.
LOST = {
    "and the first request to campaign is lost": ("Stand", 1),
    "and the first votes are lost": ("Vote", 2),
}
COMMANDS = 40
TIMINGS = election_timer.Timings()
# Time for the members to exchange calls before and after a hand-over.
SETTLE_MS = 750.0


class Network:
    """Delivers calls between nodes of one process, except lost ones."""

    def __init__(self):
        self.nodes = {}
        self.lost = {}

    async def call(self, address, stub, method, req, timeout_ms):
        """Handles a call, or fails after its timeout if the call is lost."""
        await anyio.sleep(0)
        if self.lost.get(method, 0) > 0:
            self.lost[method] -= 1
            await anyio.sleep(clock.seconds(timeout_ms))
            error = errors.UnavailableError(f"{address} is silent", "wait")
            return result.Failure(error)
        node = self.nodes[address]
        if method == "Stand":
            return result.Success(node.campaign(req))
        handler = getattr(node.replica, HANDLERS[method])
        return result.Success(node.handle(handler, req))


def make_node(name, first, network, clk, rng):
    stored = storage_lib.StoredState(
        control_pb2.HardState(member_id=members_lib.member_id(name, "first")),
        control_pb2.Snapshot(members=first),
        [],
    )
    node = node_lib.ControlNode(
        stored,
        storage_lib.MemoryStorage(stored),
        TIMINGS,
        2000.0,
        {},
        clk,
        rng,
    )
    node._channels = network
    return node


@given("a group of {count:d} control VMs without processes")
def make_group(context, count):
    context.network = Network()
    clk = clock.MonotonicClock()
    names = [f"control-{number + 1}" for number in range(count)]
    first = members_lib.initial_members({name: name for name in names})
    for number, name in enumerate(names):
        context.network.nodes[name] = make_node(
            name, first, context.network, clk, random.Random(number)
        )


async def find_leader(nodes):
    while True:
        for node in nodes:
            if node.replica.is_ready:
                return node
        await anyio.sleep(0.01)


async def hand_over(context, case):
    nodes = list(context.network.nodes.values())
    context.results = []

    async def propose(node):
        command = control_pb2.Command()
        context.results.append(await node.propose([command]))

    async with anyio.create_task_group() as tasks:
        for node in nodes:
            tasks.start_soon(node.run)
        leader = await find_leader(nodes)
        # Time for the followers to acknowledge the leader.
        await anyio.sleep(clock.seconds(SETTLE_MS))
        method, count = LOST.get(case, ("", 0))
        context.network.lost[method] = count
        if "commands" in case:
            for _ in range(COMMANDS):
                tasks.start_soon(propose, leader)
            await anyio.sleep(0)
        began = anyio.current_time()
        await leader.hand_over()
        others = [node for node in nodes if node is not leader]
        context.successors = [n for n in others if n.replica.is_leader]
        context.took_ms = (anyio.current_time() - began) * 1000
        await anyio.sleep(clock.seconds(SETTLE_MS))
        tasks.cancel_scope.cancel()


@when("its leader hands over, {case}")
def run_hand_over(context, case):
    anyio.run(hand_over, context, case)


@then("another member becomes leader sooner than after an election timeout")
def check_successor(context):
    assert context.successors
    assert context.took_ms <= TIMINGS.election_most_ms, context.took_ms


@then("no command is lost")
def check_commands(context):
    lost = [done for done in context.results if done is None]
    assert not lost, (len(lost), len(context.results))
