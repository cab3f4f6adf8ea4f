"""Steps that send malformed messages to and from a control VM's gRPC port."""

import asyncio
import contextlib
import pathlib
import random
import shutil
import struct
import tempfile
import threading
import time
from unittest import mock

import anyio
from behave import given
from behave import then
from behave import when
from grpclib import client as grpc_client
from h2 import config as h2_config
from h2 import connection as h2_connection
from h2 import events as h2_events
from h2 import exceptions as h2_exceptions
import loguru
from returns import result

from bench import deployment as deployment_lib
from cardamomkeel import clock
from cardamomkeel.control import channels as channels_lib
from cardamomkeel.control import grpc_server
from cardamomkeel.control import instance_registry as registry_lib
from cardamomkeel.control import node as node_lib
from cardamomkeel.control import poll_stream as poll_stream_lib
from cardamomkeel.control import row_streams as row_streams_lib
from cardamomkeel.control import service
from cardamomkeel.policy import incarnations
from cardamomkeel.replication import disk
from cardamomkeel.replication import election_timer
from cardamomkeel.replication import members
from cardamomkeel.settings import process
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2
from features.steps import fuzzed_input

HOST = "127.0.0.1"
TIMEOUT_S = 5.0
CALL_TIMEOUT_MS = 1000.0
READ_BYTES = 65536
PIECE_BYTES = 16384
MB = 1024 * 1024
HEADER = struct.Struct(">?I")
TEXT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
MEMBER = control_pb2.Member(id="a.first", name="a", address="127.0.0.1:1")
ENTRY = control_pb2.LogEntry(index=2, term=1, noop=True)
INSTANCE = control_pb2.InstanceRecord(
    address="10.0.0.1:1", service="dossier", slots=3, data_centre="brest"
)
COMMAND = control_pb2.Command(
    entry_join=control_pb2.EntryJoin(name="entry-1", nonce="one")
)


class LoopThread:
    """An event loop in a thread of its own."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever)
        self._thread.start()

    def run(self, coro, timeout_s=30.0):
        """Returns the result of a coroutine that runs in the loop."""
        future = asyncio.run_coroutine_threadsafe(coro, self.loop)
        return future.result(timeout_s)

    def close(self):
        """Ends the loop."""
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join()
        self.loop.close()


class ControlVm:
    """The only control VM of a group, with the tasks of its program."""

    def __init__(self, folder):
        self.address = deployment_lib.free_address()
        self.id = members.member_id("a", "first")
        first = members.initial_members({"a": self.address})
        disk.create(folder, self.id, first, formed=True)
        self._folder = folder

    async def start(self):
        """Starts serving and waits until it leads."""
        stored = disk.load(self._folder).unwrap()
        clk = clock.MonotonicClock()
        self.node = node_lib.ControlNode(
            stored,
            disk.DiskStorage(self._folder, stored),
            election_timer.Timings(50.0, 100.0, 200.0),
            2000.0,
            {},
            clk,
            random.Random(1),
        )
        cfg = process.ControlSettings(
            name="a",
            data_centre="brest",
            data_folder=str(self._folder),
            address=self.address,
            operators_address="127.0.0.1:1",
            secret_file="",
            control={"a": self.address},
        )
        rows = row_streams_lib.RowStreams(cfg, self.node, clk)
        registry = registry_lib.InstanceRegistry(self.node, clk)
        self._server = grpc_server.make_server(
            [
                service.ReplicationService(self.node, clk),
                service.ControlService(
                    self.node, rows.stream_server, clk, registry
                ),
            ],
            clk,
        )
        host, port = self.address.split(":")
        await self._server.start(host, int(port))
        self._task = asyncio.create_task(
            self._run([self.node.run, rows.run, registry.run])
        )
        until = anyio.current_time() + TIMEOUT_S
        while not self.node.replica.is_ready:
            assert anyio.current_time() < until
            await anyio.sleep(0.01)

    async def _run(self, functions):
        async with anyio.create_task_group() as tasks:
            for function in functions:
                tasks.start_soon(function)

    @property
    def has_ended(self):
        """Whether a task of the program has ended."""
        return self._task.done()

    async def stop(self):
        """Stops serving."""
        self._task.cancel()
        with contextlib.suppress(BaseException):
            await self._task
        self._server.close()
        self.node.close()


def add_loop(context):
    context.loop_thread = LoopThread()
    context.add_cleanup(context.loop_thread.close)
    return context.loop_thread


@given("a control VM that leads a group of one")
def start_control_vm(context):
    folder = pathlib.Path(tempfile.mkdtemp(prefix="cardamomkeel-"))
    context.add_cleanup(shutil.rmtree, folder)
    loop_thread = add_loop(context)
    context.vm = ControlVm(folder / "data")
    loop_thread.run(context.vm.start())
    context.add_cleanup(lambda: loop_thread.run(context.vm.stop()))


class H2Caller:
    """An HTTP/2 client that sends data frames of a test's own."""

    def __init__(self, reader, writer):
        self._reader = reader
        self._writer = writer
        self._h2 = h2_connection.H2Connection(
            h2_config.H2Configuration(header_encoding="utf-8")
        )
        self._h2.initiate_connection()
        self.stream_id = self._h2.get_next_available_stream_id()
        self.ended = False

    async def open_call(self, method):
        """Sends the header of a gRPC call."""
        self._h2.send_headers(
            self.stream_id,
            [
                (":method", "POST"),
                (":scheme", "http"),
                (":path", method),
                (":authority", "control"),
                ("te", "trailers"),
                ("content-type", "application/grpc"),
            ],
        )
        await self._flush()

    async def _flush(self):
        self._writer.write(self._h2.data_to_send())
        await self._writer.drain()

    async def receive(self, timeout_s):
        """Handles what arrives within a time."""
        try:
            with anyio.fail_after(timeout_s):
                data = await self._reader.read(READ_BYTES)
        except TimeoutError:
            return
        if not data:
            self.ended = True
            return
        for event in self._h2.receive_data(data):
            if isinstance(
                event,
                h2_events.StreamReset
                | h2_events.StreamEnded
                | h2_events.ConnectionTerminated,
            ):
                self.ended = True
        await self._flush()

    async def send(self, data, end=False):
        """Sends data as far as the server's windows allow; the bytes sent."""
        window = self._h2.local_flow_control_window(self.stream_id)
        piece = data[: min(window, PIECE_BYTES)]
        if piece or end:
            self._h2.send_data(self.stream_id, piece, end_stream=end)
            await self._flush()
        return len(piece)

    def close(self):
        """Closes the connection."""
        self._writer.close()


async def connect(address):
    host, port = address.split(":")
    return await asyncio.open_connection(host, int(port))


async def send_without_end(address, size, limit):
    """Returns how many bytes a control VM received of one message."""
    caller = H2Caller(*await connect(address))
    await caller.open_call("/cardamomkeel.wire.Replication/Append")
    await caller.send(HEADER.pack(False, size))
    sent = 0
    piece = b"x" * PIECE_BYTES
    until = anyio.current_time() + TIMEOUT_S
    with contextlib.suppress(OSError, h2_exceptions.ProtocolError):
        while sent < limit and anyio.current_time() < until:
            count = await caller.send(piece)
            sent += count
            await caller.receive(0.0 if count else 0.1)
            if caller.ended:
                break
    caller.close()
    return sent, caller.ended


@when("a message of {size:d} MB is sent to it")
def send_large(context, size):
    context.sent, context.call_ended = context.loop_thread.run(
        send_without_end(context.vm.address, size * MB, 100 * MB)
    )


@then("it has ended that call after at most {limit:d} MB")
def check_ended(context, limit):
    assert context.call_ended
    assert context.sent <= limit * MB, context.sent


async def send_call(address, method, data):
    """Sends a call and waits until the control VM has ended it.

    Returns:
        False if it did not within `TIMEOUT_S`.
    """
    caller = H2Caller(*await connect(address))
    await caller.open_call(method)
    await caller.send(data, end=True)
    until = anyio.current_time() + TIMEOUT_S
    with contextlib.suppress(OSError, h2_exceptions.ProtocolError):
        while not caller.ended and (left_s := until - anyio.current_time()) > 0:
            await caller.receive(left_s)
    caller.close()
    return caller.ended


async def send_bytes(address, data):
    reader, writer = await connect(address)
    writer.write(data)
    with contextlib.suppress(OSError, TimeoutError):
        with anyio.fail_after(0.2):
            await reader.read(READ_BYTES)
    writer.close()


APPEND = "/cardamomkeel.wire.Replication/Append"
CALLS = {
    "a call without a message": (APPEND, b""),
    "a truncated message": (APPEND, HEADER.pack(False, 100) + b"x" * 10),
    "a compressed message": (APPEND, HEADER.pack(True, 3) + b"xyz"),
    "a call of an unknown method": ("/cardamomkeel.wire.None/None", b"xyz"),
}


@when("text of another protocol is sent to it")
def send_text(context):
    context.loop_thread.run(send_bytes(context.vm.address, TEXT))


@when("random bytes is sent to it")
def send_random(context):
    data = random.Random(1).randbytes(5000)
    context.loop_thread.run(send_bytes(context.vm.address, data))


@when("a {what} is sent to it")
def send_malformed_call(context, what):
    method, data = CALLS[f"a {what}"]
    call = send_call(context.vm.address, method, data)
    assert context.loop_thread.run(call), what


def make_messages(vm):
    """Returns a valid message of each method, as the control VM takes it."""
    return {
        "Vote": control_pb2.VoteRequest(
            to=vm.id, candidate="b.first", term=2, last_index=9, last_term=1
        ),
        "Append": control_pb2.AppendRequest(
            to=vm.id, leader="b.first", term=1, entries=[ENTRY], commit=1
        ),
        "InstallSnapshot": control_pb2.SnapshotRequest(
            to=vm.id, leader="b.first", term=1
        ),
        "Greet": control_pb2.GreetRequest(),
        "Stand": control_pb2.StandRequest(to=vm.id, leader="b.first", term=1),
        "Join": control_pb2.JoinRequest(member=MEMBER),
        "Leave": control_pb2.LeaveRequest(member_id="b.first"),
        "Follow": control_pb2.FollowRequest(
            number=1, polls=[control_pb2.PollRequest(session=1)]
        ),
        "Announce": control_pb2.AnnounceRequest(instances=[INSTANCE]),
        "Propose": control_pb2.ProposeRequest(commands=[COMMAND]),
        "Read": control_pb2.ReadRequest(key="services"),
        "ChangeMembers": control_pb2.ChangeMembersRequest(name="b"),
    }


REPLICATION = (
    *("Vote", "Append", "InstallSnapshot", "Greet", "Stand", "Join"),
    "Leave",
)


@when("{count:d} fuzzed {method} messages with seed {seed:d} are sent to it")
def send_fuzzed(context, count, method, seed):
    rng = random.Random(fuzzed_input.get_seed(context, seed))
    service_name = "Replication" if method in REPLICATION else "Control"
    path = f"/cardamomkeel.wire.{service_name}/{method}"
    valid = make_messages(context.vm)[method].SerializeToString() or b"\x08\x01"

    async def send_all():
        ended = 0
        for _ in range(count):
            data = fuzzed_input.mutate(rng, valid)
            message = HEADER.pack(False, len(data)) + data
            ended += await send_call(context.vm.address, path, message)
        return ended

    count = fuzzed_input.get_cases(context, count)
    ended = context.loop_thread.run(send_all(), timeout_s=600.0)
    assert ended == count, (ended, count)


async def propose(address, *commands):
    """Proposes commands, or one of a test's own."""
    channels = channels_lib.Channels({}, clock.MonotonicClock())
    try:
        return await channels.call(
            address,
            control_grpc.ControlStub,
            "Propose",
            control_pb2.ProposeRequest(commands=commands or [COMMAND]),
            CALL_TIMEOUT_MS,
        )
    finally:
        channels.close()


@then("it still accepts commands")
def check_accepts(context):
    until = time.monotonic() + TIMEOUT_S
    while True:
        assert not context.vm.has_ended
        reply = context.loop_thread.run(propose(context.vm.address))
        if isinstance(reply, result.Success) and reply.unwrap().leader:
            return
        assert time.monotonic() < until, reply
        time.sleep(0.05)


class H2Server:
    """An HTTP/2 server that answers each call with bytes of a test's own."""

    def __init__(self, headers, data, ends):
        self._headers = headers
        self._data = data
        self._ends = ends

    async def serve(self, reader, writer):
        """Serves one connection."""
        h2 = h2_connection.H2Connection(
            h2_config.H2Configuration(
                client_side=False,
                header_encoding="utf-8",
                validate_outbound_headers=False,
            )
        )
        h2.initiate_connection()
        writer.write(h2.data_to_send())
        with contextlib.suppress(OSError, h2_exceptions.ProtocolError):
            while data := await reader.read(READ_BYTES):
                for event in h2.receive_data(data):
                    if isinstance(event, h2_events.RequestReceived):
                        self._answer(h2, event.stream_id)
                writer.write(h2.data_to_send())
                await writer.drain()
        writer.close()

    def _answer(self, h2, stream_id):
        h2.send_headers(stream_id, self._headers)
        h2.send_data(stream_id, self._data, end_stream=self._ends)


class RawPeer:
    """A server that answers what it gets with the same bytes."""

    def __init__(self, data):
        self._data = data

    async def serve(self, reader, writer):
        """Serves one connection."""
        with contextlib.suppress(OSError):
            await reader.read(READ_BYTES)
            writer.write(self._data)
            await writer.drain()
        writer.close()


HEADERS = [(":status", "200"), ("content-type", "application/grpc")]
REPLIES = {
    "text of another protocol": RawPeer(TEXT),
    "random bytes": RawPeer(random.Random(1).randbytes(5000)),
    "an ended stream": H2Server(HEADERS, b"", ends=True),
    "a malformed message": H2Server(
        HEADERS, HEADER.pack(False, 4) + b"\xff\xff\xff\xff", ends=False
    ),
    "a truncated message": H2Server(
        HEADERS, HEADER.pack(False, 100) + b"x" * 10, ends=True
    ),
    "a compressed message": H2Server(
        HEADERS, HEADER.pack(True, 3) + b"xyz", ends=False
    ),
    "an invalid status": H2Server(
        [*HEADERS, ("grpc-status", "many")], b"", ends=True
    ),
}


@given("a control VM whose replies are {what}")
def start_raw_control_vm(context, what):
    loop_thread = add_loop(context)

    async def start():
        return await asyncio.start_server(REPLIES[what].serve, HOST, 0)

    server = loop_thread.run(start())
    port = server.sockets[0].getsockname()[1]
    context.raw_address = f"{HOST}:{port}"
    context.add_cleanup(
        lambda: loop_thread.loop.call_soon_threadsafe(server.close)
    )


@when("its disk fails and {method} is sent to it")
def call_without_disk(context, method):
    vm = context.vm
    req = make_messages(vm)[method]
    if method == "Join":
        # A group with this limit takes in VMs that nobody has announced.
        vm.node.max_members = 7
        req.member.id, req.member.name = "b.first", "b"
    failing = mock.Mock(side_effect=OSError("the disk is full"))
    patch = mock.patch.object(disk.DiskStorage, "_write", failing)
    patch.start()
    context.add_cleanup(patch.stop)
    data = req.SerializeToString()
    service_name = "Replication" if method in REPLICATION else "Control"
    call = send_call(
        vm.address,
        f"/cardamomkeel.wire.{service_name}/{method}",
        HEADER.pack(False, len(data)) + data,
    )
    context.loop_thread.run(call)


@when("a command is proposed while a sync takes {ms:d} ms")
def propose_with_slow_disk(context, ms):
    context.lines = []
    sink = loguru.logger.add(
        lambda line: context.lines.append(line.record), level="WARNING"
    )
    context.add_cleanup(loguru.logger.remove, sink)

    slow = mock.Mock(side_effect=lambda _: time.sleep(ms / 1000))
    with mock.patch.object(disk.os, "fdatasync", slow):
        context.loop_thread.run(propose(context.vm.address))


@when("the same command is proposed {count:d} times at once")
def propose_at_once(context, count):
    node = context.vm.node
    context.last_index = node.replica.log.last_index

    async def propose_all():
        return await asyncio.gather(
            *(propose(context.vm.address) for _ in range(count))
        )

    context.replies = context.loop_thread.run(propose_all())


@then("all get the same result, and the log has {count:d} entry more")
def check_appended_once(context, count):
    results = {str(reply.unwrap().results) for reply in context.replies}
    assert len(results) == 1, context.replies
    added = context.vm.node.replica.log.last_index - context.last_index
    assert added == count, added


@when("a server's leave, a heartbeat and its leave are proposed at once")
def propose_leave_twice(context):
    def see(number):
        server = control_pb2.InstanceRecord(
            address="127.0.0.1:2",
            instance="server-1",
            born_ms=number,
            sequence=number,
            service="dossier",
            state="ready",
        )
        seen = control_pb2.InstancesSeen(instances=[server])
        return control_pb2.Command(instances_seen=seen)

    name = control_pb2.InstanceName(instance="server-1")
    leave = control_pb2.Command(
        instances_gone=control_pb2.InstancesGone(instances=[name])
    )
    for commands in [see(1)], [leave, see(2), leave]:
        reply = context.loop_thread.run(propose(context.vm.address, *commands))
        assert reply.unwrap().leader, reply


@then("the server is gone")
def check_gone(context):
    [server] = context.vm.node.tables.instances()
    assert (server.born_ms, server.state) == (2, incarnations.GONE), server


@then("it reports a slow disk of {ms:d} ms or more")
def check_slow_disk(context, ms):
    found = [r for r in context.lines if r["message"] == "slow disk"]
    assert found, context.lines
    assert found[0]["extra"]["took_ms"] >= ms, found[0]["extra"]


@then("it ends for its disk within {ms:d} ms")
def check_ended(context, ms):
    until = time.monotonic() + ms / 1000
    while not context.vm.has_ended:
        assert time.monotonic() < until, "it goes on"
        time.sleep(0.02)


@given("connections to it that close {moment}")
def close_connections(context, moment):
    context.raw_address = context.vm.address
    create = grpc_client.Channel._create_connection

    async def create_closing(channel):
        protocol = await create(channel)
        if moment == "while the call waits for it":
            channel._protocol = protocol
            channel.close()
            return None
        protocol.processor.close("the peer goes away")
        return protocol

    patch = mock.patch.object(
        grpc_client.Channel, "_create_connection", create_closing
    )
    patch.start()
    context.add_cleanup(patch.stop)


@when("a command is proposed to it")
def propose_to_raw(context):
    context.reply = context.loop_thread.run(propose(context.raw_address))


@then("the call ends with an error")
def check_call_failed(context):
    assert isinstance(context.reply, result.Failure), context.reply


async def poll(address):
    stream = poll_stream_lib.PollStream({}, lambda _: None)
    async with anyio.create_task_group() as tasks:
        await tasks.start(stream.run)
        answer = await stream.poll(
            address, control_pb2.FollowRequest(), CALL_TIMEOUT_MS
        )
        tasks.cancel_scope.cancel()
    return answer


@when("its rows are polled")
def poll_raw(context):
    context.polled = context.loop_thread.run(poll(context.raw_address))


@then("the poll ends without an answer")
def check_poll_failed(context):
    assert context.polled is None, context.polled
