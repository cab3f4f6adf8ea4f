"""Exchanges counts of running requests between the entries of a data centre.

Each datagram holds the running requests of its sender at every target, so the
next datagram makes up for a lost one. The counts of an entry expire if no
datagram follows. In a large data centre each entry sends to some peers only.
"""

import asyncio
import collections.abc
import contextlib
import typing

import loguru
import msgspec
import orjson

from cardamomkeel import clock
from cardamomkeel import listening
from cardamomkeel.log_lines import limits
from cardamomkeel.policy import peers
from cardamomkeel.settings import addresses

# Changes within this time are sent in one datagram.
SEND_DELAY_MS = 3.0
# How often an entry sends its counts without a change.
SEND_INTERVAL_MS = 300.0
# An entry is unresponsive after this time without a datagram: it has missed two
# send intervals. It is not listed to callers then, since a caller that picks an
# entry that is down loses an attempt.
UNRESPONSIVE_MS = 700.0
# How long the counts of an entry are used; two datagrams may be lost.
REPORT_TTL_MS = 1300.0
# An entry that stopped sending is forgotten after this time. If it is down, the
# control group has removed it by then.
FORGET_MS = 10_000.0
# The counts of more targets do not fit into one packet.
MAX_TARGETS = 40

_Count = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
# The name of the sender, the start time of its process, the number of the
# datagram and the running requests by target.
_DECODER = msgspec.json.Decoder(tuple[str, _Count, _Count, dict[str, _Count]])

logger = loguru.logger


class _Receiver(asyncio.DatagramProtocol):
    """Passes received datagrams to a callback."""

    def __init__(self, on_datagram: collections.abc.Callable[[bytes], None]):
        self._receive = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Passes a datagram to the callback."""
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """Ignores errors of unreachable peers, whose counts expire by time."""


class _PeerCounts:
    """The last numbers of running requests, by target, that a peer sent."""

    def __init__(self):
        # Start time of its process and sequence number of its datagram.
        self.sequence = (0, 0)
        self.received_at: clock.Millis = 0.0
        self.running: dict[str, int] = {}


class Gossip:
    """Sends the counts of this entry and adds up those of its peers.

    Attributes:
        running: Number of running requests of the peers, by target address.
    """

    def __init__(
        self,
        name: str,
        clk: clock.Clock,
        count_running_by_target: collections.abc.Callable[[], dict[str, int]],
        on_change: collections.abc.Callable[[], None],
    ):
        self._name = name
        self._clock = clk
        self._count_running_by_target = count_running_by_target
        self._on_change = on_change
        self._started_at = int(clk.now())
        self._sequence = 0
        self._peers: dict[str, _PeerCounts] = {}
        # When the counts of an entry expired, by its name.
        self._unresponsive_since: dict[str, clock.Millis] = {}
        self._addresses: list[tuple[str, int]] = []
        self._ring_peers = peers.Peers()
        self._malformed_limit = limits.Limit("ignored malformed datagram", clk)
        self._transport: asyncio.DatagramTransport | None = None
        self._send_timer: asyncio.TimerHandle | None = None
        self.running: dict[str, int] = {}

    async def start(self, address: str) -> None:
        """Listens at an address."""
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        with listening.report_bind_errors(address):
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _Receiver(self._receive), local_addr=(host, int(port))
            )

    def set_peers(self, others: dict[str, str]) -> None:
        """Picks the peers to exchange counts with.

        Args:
            others: The addresses of the other entries of this data centre, by
                name.
        """
        self._ring_peers = peers.pick(self._name, others)
        self._addresses = []
        for name in self._ring_peers.sends_to:
            with contextlib.suppress(ValueError):
                self._addresses.append(addresses.split(others[name]))

    def schedule_send(self) -> None:
        """Schedules a datagram after a change of the counts."""
        if self._send_timer is None and self._addresses:
            self._send_timer = asyncio.get_running_loop().call_later(
                clock.seconds(SEND_DELAY_MS), self._send
            )

    def _send(self) -> None:
        self._send_timer = None
        if self._transport is None or not self._addresses:
            return
        self._sequence += 1
        running = sorted(self._count_running_by_target().items())[:MAX_TARGETS]
        data = orjson.dumps(
            [self._name, self._started_at, self._sequence, dict(running)]
        )
        for address in self._addresses:
            self._transport.sendto(data, address)

    def _receive(self, data: bytes) -> None:
        try:
            name, start, sequence, counts = _DECODER.decode(data)
        except (ValueError, RecursionError) as exc:
            if self._malformed_limit.may_write():
                logger.warning("ignored malformed datagram", reason=repr(exc))
            return
        peer = self._peers.setdefault(name, _PeerCounts())
        self._unresponsive_since.pop(name, None)
        if (start, sequence) <= peer.sequence:
            return
        peer.sequence = (start, sequence)
        peer.received_at = self._clock.now()
        peer.running = counts
        self._update_running()

    def _update_running(self) -> None:
        total: dict[str, int] = {}
        for peer in self._peers.values():
            for address, count in peer.running.items():
                total[address] = total.get(address, 0) + count
        self.running = total
        self._on_change()

    def is_unresponsive(self, name: str) -> bool:
        """Returns whether a peer has stopped sending datagrams."""
        if name not in self._ring_peers.receives_from:
            return False
        peer = self._peers.get(name)
        if peer is None:
            return name in self._unresponsive_since
        return self._clock.now() - peer.received_at > UNRESPONSIVE_MS

    async def run(self) -> None:
        """Sends the counts and removes expired ones, until cancelled."""
        while True:
            await asyncio.sleep(clock.seconds(SEND_INTERVAL_MS))
            self._send()
            now = self._clock.now()
            expired = [
                name
                for name, peer in self._peers.items()
                if now - peer.received_at > REPORT_TTL_MS
            ]
            for name in expired:
                del self._peers[name]
                self._unresponsive_since[name] = now
            for name, since in list(self._unresponsive_since.items()):
                if now - since > FORGET_MS:
                    del self._unresponsive_since[name]
            if expired:
                self._update_running()

    def close(self) -> None:
        """Stops sending and listening."""
        if self._transport is not None:
            self._transport.close()
            self._transport = None
