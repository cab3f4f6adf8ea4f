"""Entries near each other tell each other what they run at which target.

Each datagram holds all that its sender runs, so a lost one is made up for by
the next. What a silent entry said last is dropped. In a large data centre each
entry tells some of the others only.
"""

import asyncio
import collections.abc

import loguru
import orjson

from cardamomkeel import clock
from cardamomkeel import listening
from cardamomkeel.policy import peers

# Changes that are this close to each other go out together.
SEND_DELAY_MS = 3.0
# An entry without changes still says what it runs this often.
SEND_INTERVAL_MS = 300.0
# An entry that has not been heard for so long has missed two repeats and is not
# named to callers: each that picks one that is down loses an attempt.
UNRESPONSIVE_MS = 700.0
# What an entry said counts for so long: two repeats may be lost.
REPORT_TTL_MS = 1300.0
# After so long the control group has dropped an entry that is down.
FORGET_MS = 10_000.0
# More targets than this in one datagram would not fit one packet.
MAX_TARGETS = 40

logger = loguru.logger


class _Receiver(asyncio.DatagramProtocol):
    """Hands datagrams on."""

    def __init__(self, on_datagram: collections.abc.Callable[[bytes], None]):
        self._receive = on_datagram

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        """Takes a datagram."""
        self._receive(data)

    def error_received(self, exc: Exception) -> None:
        """Passes over entries that are down; they are dropped by time."""


class _Peer:
    """What another entry said last."""

    def __init__(self):
        # The start of its process, and the number of its datagram.
        self.sequence = (0, 0)
        self.received_at: clock.Millis = 0.0
        self.running: dict[str, int] = {}


class Gossip:
    """Sends what this entry runs, and adds up what the others run.

    Attributes:
        running: How many requests of the others that are heard run, by target
            address.
    """

    def __init__(
        self,
        name: str,
        clk: clock.Clock,
        list_running: collections.abc.Callable[[], dict[str, int]],
        on_change: collections.abc.Callable[[], None],
    ):
        self._name = name
        self._clock = clk
        self._list_running = list_running
        self._on_change = on_change
        self._started_at = int(clk.now())
        self._sequence = 0
        self._peers: dict[str, _Peer] = {}
        # Since when an entry that was heard has been silent.
        self._unresponsive_since: dict[str, clock.Millis] = {}
        self._addresses: list[tuple[str, int]] = []
        self._ring_peers = peers.Peers()
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
        """Tells, and listens for, its peers among some entries.

        Args:
            others: The addresses of the other entries of this data centre, by
                their names.
        """
        self._ring_peers = peers.pick(self._name, others)
        self._addresses = []
        for name in self._ring_peers.told:
            host, _, port = others[name].rpartition(":")
            self._addresses.append((host, int(port)))

    def schedule_send(self) -> None:
        """Has the others told soon of what this entry runs."""
        if self._send_timer is None and self._addresses:
            self._send_timer = asyncio.get_running_loop().call_later(
                clock.seconds(SEND_DELAY_MS), self._send
            )

    def _send(self) -> None:
        self._send_timer = None
        if self._transport is None or not self._addresses:
            return
        self._sequence += 1
        running = sorted(self._list_running().items())[:MAX_TARGETS]
        data = orjson.dumps(
            [self._name, self._started_at, self._sequence, dict(running)]
        )
        for address in self._addresses:
            self._transport.sendto(data, address)

    def _receive(self, data: bytes) -> None:
        try:
            name, start, sequence, running = orjson.loads(data)
            counts = {str(a): int(n) for a, n in running.items()}
        except (ValueError, TypeError, AttributeError) as exc:
            logger.warning("passed over a datagram", reason=repr(exc))
            return
        peer = self._peers.setdefault(str(name), _Peer())
        self._unresponsive_since.pop(str(name), None)
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
        """Tells whether an entry has stopped telling this one what it runs."""
        if name not in self._ring_peers.heard:
            return False
        peer = self._peers.get(name)
        if peer is None:
            return name in self._unresponsive_since
        return self._clock.now() - peer.received_at > UNRESPONSIVE_MS

    async def run(self) -> None:
        """Repeats what this entry runs, and drops silent entries."""
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
