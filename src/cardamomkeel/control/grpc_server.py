"""Makes the gRPC servers of control VMs, which refuse malformed messages."""

import typing
import weakref

from grpclib import const as grpc_const
from grpclib import events as grpc_events
from grpclib import exceptions as grpc_exceptions
from grpclib import protocol as grpc_protocol
from grpclib import server as grpc_server
import loguru

from cardamomkeel import clock
from cardamomkeel.control import grpc_errors
from cardamomkeel.log_lines import limits

# More than a snapshot of the largest deployment takes.
MAX_MESSAGE_BYTES = 32 * 1024 * 1024

logger = loguru.logger


class _Server(grpc_server.Server):
    """Closes its connections when it is closed.

    grpclib leaves them open, with the services of the closed server. Another
    server at the same address would not be heard on them.
    """

    def __init__(self, services: list[typing.Any]):
        super().__init__(services)
        self._protocols: weakref.WeakSet[grpc_protocol.H2Protocol] = (
            weakref.WeakSet()
        )

    def _protocol_factory(self) -> grpc_protocol.H2Protocol:
        protocol = super()._protocol_factory()
        self._protocols.add(protocol)
        return protocol

    def close(self) -> None:
        """Stops listening and ends all calls and connections."""
        super().close()
        for protocol in list(self._protocols):
            if hasattr(protocol, "processor"):
                protocol.processor.close("the server was closed")


def make_server(
    services: list[typing.Any], clk: clock.Clock
) -> grpc_server.Server:
    """Returns a server that refuses malformed and oversized messages.

    Args:
        services: The implementations of the generated service classes.
        clk: The clock that limits the rate of log lines.

    Returns:
        A server that does not listen yet.
    """
    log_limit = limits.Limit("refused malformed message", clk)

    async def check_messages(event: grpc_events.RecvRequest) -> None:
        handle = event.method_func

        async def handle_checked(stream: grpc_server.Stream) -> None:
            _limit_size(stream)
            _refuse_malformed(stream, event.method_name, log_limit)
            await handle(stream)

        event.method_func = handle_checked

    server = _Server(services)
    grpc_events.listen(server, grpc_events.RecvRequest, check_messages)
    return server


def _limit_size(stream: grpc_server.Stream) -> None:
    """Refuses a message by its declared length, before it is received."""
    # grpclib has no limit of its own, and no public way to the bytes.
    h2_stream = stream._stream  # noqa: SLF001
    receive = h2_stream.recv_data

    async def receive_limited(size: int) -> bytes:
        if size > MAX_MESSAGE_BYTES:
            raise grpc_errors.OversizedMessageError(
                f"the message has {size} bytes; send at most "
                f"{MAX_MESSAGE_BYTES}"
            )
        return await receive(size)

    h2_stream.recv_data = receive_limited


def _refuse_malformed(
    stream: grpc_server.Stream, method: str, log_limit: limits.Limit
) -> None:
    """Ends the call with an error that names what is wrong."""
    receive = stream.recv_message

    async def receive_checked() -> typing.Any:
        try:
            return await receive()
        except grpc_errors.MALFORMED_MESSAGE as exc:
            reason = grpc_errors.describe(exc)
            if log_limit.may_write():
                logger.warning(
                    "refused malformed message", method=method, reason=reason
                )
            raise grpc_exceptions.GRPCError(
                grpc_const.Status.INVALID_ARGUMENT, reason
            ) from exc

    stream.recv_message = receive_checked
