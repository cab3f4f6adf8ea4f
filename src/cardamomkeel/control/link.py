"""A stream of polls to one control VM, with its answers."""

import dataclasses
import typing

import anyio
import anyio.abc
from grpclib import client as grpc_client
from grpclib import exceptions as grpc_exceptions

from cardamomkeel import clock
from cardamomkeel.control import channels
from cardamomkeel.control import signal
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2

STREAM_ERRORS = (
    OSError,
    grpc_exceptions.GRPCError,
    grpc_exceptions.ProtocolError,
    grpc_exceptions.StreamTerminatedError,
)


@dataclasses.dataclass
class _Open:
    """An open stream, or one that is being opened."""

    address: str
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    stream: grpc_client.Stream | None = None
    number: int = 0
    reply: control_pb2.FollowReply | None = None
    closed: bool = False


class Link:
    """Asks for leases over a stream, one request at a time.

    A stream that does not answer in time is closed with its connection, so
    the next request opens another.

    Attributes:
        news: Notified when rows arrive or the stream ends.
    """

    def __init__(
        self,
        reach: dict[str, str],
        on_rows: typing.Callable[[control_pb2.FollowReply], None],
    ):
        """Makes a link without a stream.

        Args:
            reach: Addresses to connect to in place of others.
            on_rows: Takes each reply that carries rows, in their order and
                before the lease that goes with them is returned.
        """
        self._reach = reach
        self._on_rows = on_rows
        self._open: _Open | None = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self._step = signal.Signal()
        self.news = signal.Signal()

    @property
    def is_open(self) -> bool:
        """Tells whether there is a stream that can be asked."""
        return self._open is not None and not self._open.closed

    @property
    def address(self) -> str:
        """The control VM that the stream leads to; empty for none."""
        return self._open.address if self.is_open else ""

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Reads what arrives, until cancelled."""
        try:
            async with anyio.create_task_group() as self._tasks:
                task_status.started()
                await anyio.sleep_forever()
        finally:
            self._tasks = None
            self._open = None

    def close(self) -> None:
        """Closes the stream, if there is one."""
        if self._open is not None:
            self._open.closed = True
            self._open.scope.cancel()
            self._open = None

    async def ask(
        self,
        address: str,
        req: control_pb2.FollowRequest,
        timeout_ms: clock.Millis,
    ) -> control_pb2.FollowReply | None:
        """Sends a request and returns its answer, or None without one."""
        if self._tasks is None:
            return None
        if not self.is_open or self._open.address != address:
            self.close()
            self._open = _Open(address)
            self._tasks.start_soon(self._read, self._open)
        opened = self._open
        try:
            with anyio.move_on_after(clock.seconds(timeout_ms)):
                return await self._exchange(opened, req)
        except STREAM_ERRORS:
            pass
        if self._open is opened:
            self.close()
        return None

    async def _exchange(
        self, opened: _Open, req: control_pb2.FollowRequest
    ) -> control_pb2.FollowReply | None:
        while opened.stream is None and not opened.closed:
            await self._step.wait()
        if opened.closed:
            return None
        opened.number += 1
        opened.reply = None
        req.number = opened.number
        await opened.stream.send_message(req)
        while opened.reply is None and not opened.closed:
            await self._step.wait()
        return opened.reply

    async def _read(self, opened: _Open) -> None:
        host, port = channels.split_address(
            self._reach.get(opened.address, opened.address)
        )
        channel = grpc_client.Channel(host, port)
        try:
            with opened.scope:
                stub = control_grpc.ControlStub(channel)
                async with stub.Follow.open() as stream:
                    await stream.send_request()
                    opened.stream = stream
                    self._step.notify()
                    async for reply in stream:
                        self._take(opened, reply)
        except STREAM_ERRORS:
            pass
        finally:
            opened.closed = True
            channel.close()
            self._step.notify()
            self.news.notify()

    def _take(self, opened: _Open, reply: control_pb2.FollowReply) -> None:
        if opened.closed:
            return
        self._on_rows(reply)
        if reply.number and reply.number == opened.number:
            opened.reply = reply
            self._step.notify()
        else:
            self.news.notify()
