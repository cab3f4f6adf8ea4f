"""A channel to a control VM whose calls fail cleanly if it closes."""

from grpclib import client as grpc_client
from grpclib import protocol as grpc_protocol


class Channel(grpc_client.Channel):
    """A channel that reports a closed connection before a call uses it.

    grpclib closes a connection when its peer says that it goes away or when
    the channel is closed. A call that waited for the connection would then end
    with an AttributeError, which no caller expects.
    """

    async def __connect__(self) -> grpc_protocol.H2Protocol:
        """Returns an open connection.

        Raises:
            OSError: There is none, or it closed while the call waited for it.
        """
        protocol = await super().__connect__()
        if protocol is None or protocol.processor.connection.is_closing():
            raise ConnectionError("the connection was closed")
        return protocol
