"""Connections to control VMs that are replaced when they go silent."""

import typing

import anyio
from grpclib import client as grpc_client
from grpclib import exceptions as grpc_exceptions
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors

Reply = typing.TypeVar("Reply")


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port of an address such as `127.0.0.1:7000`."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class Channels:
    """One connection per address, opened when first needed."""

    def __init__(self, reach: dict[str, str]):
        """Makes an empty set of connections.

        Args:
            reach: Addresses to connect to in place of others.
        """
        self._reach = reach
        self._channels: dict[str, grpc_client.Channel] = {}

    def _open(self, address: str) -> grpc_client.Channel:
        if address not in self._channels:
            host, port = split_address(self._reach.get(address, address))
            self._channels[address] = grpc_client.Channel(host, port)
        return self._channels[address]

    def drop(self, address: str) -> None:
        """Closes the connection to an address, if there is one."""
        channel = self._channels.pop(address, None)
        if channel is not None:
            channel.close()

    def close(self) -> None:
        """Closes all connections."""
        for address in list(self._channels):
            self.drop(address)

    async def call(
        self,
        address: str,
        stub: type,
        method: str,
        req: typing.Any,
        timeout_ms: clock.Millis,
    ) -> result.Result[typing.Any, errors.Error]:
        """Calls a method of a control VM.

        A call that gets no answer in time marks the connection as bad: it is
        closed, and the next call opens another.

        Args:
            address: Host and port.
            stub: The generated client class.
            method: The name of its method.
            req: The message to send.
            timeout_ms: How long the answer may take.

        Returns:
            The reply, or why there is none.
        """
        channel = self._open(address)
        try:
            with anyio.fail_after(clock.seconds(timeout_ms)):
                return result.Success(await getattr(stub(channel), method)(req))
        except (
            OSError,
            TimeoutError,
            grpc_exceptions.GRPCError,
            grpc_exceptions.StreamTerminatedError,
        ) as exc:
            if self._channels.get(address) is channel:
                self.drop(address)
            return result.Failure(
                errors.UnavailableError(
                    f"no answer from control VM {address}: {exc!r}",
                    "see that it runs and can be reached",
                )
            )
