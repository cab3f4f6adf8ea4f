"""Connections to control VMs, replaced before use if idle for too long."""

import dataclasses
import typing

import anyio
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.control import grpc_channel
from cardamomkeel.control import grpc_errors
from cardamomkeel.settings import addresses

# A connection that was idle for longer may have become unresponsive; another
# one is opened in its place.
MAX_IDLE_MS = 1000.0

Reply = typing.TypeVar("Reply")


@dataclasses.dataclass
class _Connection:
    """An open connection."""

    channel: grpc_channel.Channel
    used_at: clock.Millis
    in_flight: int = 0


class Channels:
    """One connection per address, opened on first use.

    A connection that was idle for more than `MAX_IDLE_MS` is replaced before
    its next use.
    """

    def __init__(self, reach: dict[str, str], clk: clock.Clock):
        """Creates an empty set of connections.

        Args:
            reach: Substitute addresses to connect to, by address.
            clk: The clock that measures idle times.
        """
        self._reach = reach
        self._clock = clk
        self._channels: dict[str, _Connection] = {}

    def _get_connection(self, address: str) -> _Connection:
        known = self._channels.get(address)
        unused_since = self._clock.now() - MAX_IDLE_MS
        if known and not known.in_flight and known.used_at < unused_since:
            self.drop(address)
        if address not in self._channels:
            host, port = addresses.split(self._reach.get(address, address))
            self._channels[address] = _Connection(
                grpc_channel.Channel(host, port), self._clock.now()
            )
        return self._channels[address]

    def drop(self, address: str) -> None:
        """Closes the connection to an address, if there is one."""
        known = self._channels.pop(address, None)
        if known is not None:
            known.channel.close()

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

        The connection is closed after a failure or a timeout, and the next call
        opens another.

        Args:
            address: Host and port.
            stub: The generated client class.
            method: The name of its method.
            req: The message to send.
            timeout_ms: How long to wait for the answer.

        Returns:
            The reply, or an error.
        """
        known = self._get_connection(address)
        known.in_flight += 1
        try:
            with anyio.fail_after(clock.seconds(timeout_ms)):
                call = getattr(stub(known.channel), method)
                return result.Success(await call(req))
        except (
            *grpc_errors.CALL_FAILED,
            *grpc_errors.MALFORMED_MESSAGE,
        ) as exc:
            if self._channels.get(address) is known:
                self.drop(address)
            return result.Failure(
                errors.UnavailableError(
                    f"no answer from control VM {address}: {exc!r}",
                    "see that it runs and can be reached",
                )
            )
        finally:
            known.in_flight -= 1
            known.used_at = self._clock.now()
