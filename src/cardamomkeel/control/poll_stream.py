"""The client side of one stream of polls, rows and leases."""

import dataclasses
import typing

import anyio
import anyio.abc
from grpclib import client as grpc_client
import loguru

from cardamomkeel import clock
from cardamomkeel.control import grpc_channel
from cardamomkeel.control import grpc_errors
from cardamomkeel.control import row_batches
from cardamomkeel.control import signal
from cardamomkeel.settings import addresses as addresses_lib
from cardamomkeel.wire import control_grpc
from cardamomkeel.wire import control_pb2

logger = loguru.logger


@dataclasses.dataclass
class _OpenStream:
    """An open stream, or one that is being opened.

    Attributes:
        last_received_at_s: When the last message arrived, on anyio's clock in
            seconds.
        failure: Why the stream has ended; empty while it is open or if it was
            closed by this process.
    """

    address: str
    scope: anyio.CancelScope = dataclasses.field(
        default_factory=anyio.CancelScope
    )
    stream: grpc_client.Stream | None = None
    number: int = 0
    reply: control_pb2.FollowReply | None = None
    closed: bool = False
    assembler: row_batches.ReplyAssembler = dataclasses.field(
        default_factory=row_batches.ReplyAssembler
    )
    last_received_at_s: float = float("-inf")
    failure: str = ""


class PollStream:
    """Polls for leases over a stream, one request at a time.

    If an answer does not arrive in time, the stream and its connection are
    closed, and the next request opens others.

    Attributes:
        failure: Why the last failed request got no answer.
        activity: Notified when rows arrive or the stream ends.
    """

    def __init__(
        self,
        reach: dict[str, str],
        on_rows: typing.Callable[[control_pb2.FollowReply], None],
    ):
        """Creates a client without an open stream.

        Args:
            reach: Substitute addresses to connect to, by address.
            on_rows: Called with each reply that has rows, in order, and before
                the lease of that reply is returned.
        """
        self._reach = reach
        self._on_rows = on_rows
        self._open: _OpenStream | None = None
        self._tasks: anyio.abc.TaskGroup | None = None
        self._progress = signal.Signal()
        self.failure = ""
        self.activity = signal.Signal()

    @property
    def is_open(self) -> bool:
        """Returns whether a stream is open or being opened."""
        return self._open is not None and not self._open.closed

    @property
    def address(self) -> str:
        """The address of the polled control VM; empty without a stream."""
        return self._open.address if self.is_open else ""

    async def run(
        self,
        *,
        task_status: anyio.abc.TaskStatus[None] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Reads the replies, until cancelled."""
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

    async def poll(
        self,
        address: str,
        req: control_pb2.FollowRequest,
        timeout_ms: clock.Millis,
    ) -> control_pb2.FollowReply | None:
        """Sends a request and returns its answer, or None if there is none.

        Args:
            address: The address of the control VM.
            req: The request.
            timeout_ms: The longest time between messages until the answer.
        """
        if self._tasks is None:
            return None
        if not self.is_open or self._open.address != address:
            self.close()
            self._open = _OpenStream(address)
            self._tasks.start_soon(self._run_stream, self._open)
        opened = self._open
        try:
            reply = await self._exchange(opened, req, clock.seconds(timeout_ms))
            if reply is not None:
                return reply
            self.failure = opened.failure or f"silent for {timeout_ms:.0f} ms"
        except grpc_errors.CALL_FAILED as exc:
            self.failure = repr(exc)
        if self._open is opened:
            self.close()
        return None

    async def _exchange(
        self,
        opened: _OpenStream,
        req: control_pb2.FollowRequest,
        timeout_s: float,
    ) -> control_pb2.FollowReply | None:
        until = anyio.current_time() + timeout_s
        sent = False
        with anyio.move_on_after(timeout_s):
            sent = await self._send(opened, req)
        while sent and until > anyio.current_time():
            with anyio.move_on_after(until - anyio.current_time()):
                return await self._wait_reply(opened)
            until = opened.last_received_at_s + timeout_s
        return None

    async def _send(
        self, opened: _OpenStream, req: control_pb2.FollowRequest
    ) -> bool:
        """Sends a request once the stream is open; False if it closed."""
        while opened.stream is None and not opened.closed:
            await self._progress.wait()
        if opened.closed:
            return False
        opened.number += 1
        opened.reply = None
        req.number = opened.number
        await opened.stream.send_message(req)
        return True

    async def _wait_reply(
        self, opened: _OpenStream
    ) -> control_pb2.FollowReply | None:
        while opened.reply is None and not opened.closed:
            await self._progress.wait()
        return opened.reply

    async def _run_stream(self, opened: _OpenStream) -> None:
        """Opens the stream and handles its replies until it ends."""
        host, port = addresses_lib.split(
            self._reach.get(opened.address, opened.address)
        )
        channel = grpc_channel.Channel(host, port)
        try:
            with opened.scope:
                stub = control_grpc.ControlStub(channel)
                async with stub.Follow.open() as stream:
                    await stream.send_request()
                    opened.stream = stream
                    self._progress.notify()
                    async for reply in stream:
                        self._handle_reply(opened, reply)
            opened.failure = "it ended the stream"
        except grpc_errors.CALL_FAILED as exc:
            opened.failure = repr(exc)
        except (ValueError, *grpc_errors.MALFORMED_MESSAGE) as exc:
            opened.failure = str(exc)
            logger.error(
                "received invalid reply from control VM",
                control=opened.address,
                reason=str(exc),
            )
        finally:
            opened.closed = True
            channel.close()
            self._progress.notify()
            self.activity.notify()

    def _handle_reply(
        self, opened: _OpenStream, reply: control_pb2.FollowReply
    ) -> None:
        if opened.closed:
            return
        opened.last_received_at_s = anyio.current_time()
        reply = opened.assembler.add_reply(reply)
        if reply is None:
            return
        self._on_rows(reply)
        if reply.number and reply.number == opened.number:
            opened.reply = reply
            self._progress.notify()
        else:
            self.activity.notify()
