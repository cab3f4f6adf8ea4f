"""Exchanges the state of targets between the entries of a data centre.

Each datagram holds the running requests of its sender at every target, so the
next datagram makes up for a lost one. The counts of an entry expire if no
datagram follows. In a large data centre each entry sends to some peers only.

A datagram also tells how many requests each target that has just failed one has
answered and failed, so that an entry with few requests need not find out which
targets fail by itself. These numbers only increase, and the receiver uses the
difference.
"""

import asyncio
import collections.abc
import contextlib
import typing

import loguru
import msgspec

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

# Of the answers and failures of a peer, at most so many are used at once.
MAX_NEW_RESULTS = 5

_Count = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**53)]


class Results(typing.NamedTuple):
    """How many requests a target has answered and failed."""

    answers: _Count
    failures: _Count


class _Datagram(msgspec.Struct, array_like=True, frozen=True):
    """A datagram.

    Attributes:
        name: Name of the sender.
        start: Start time of its process.
        sequence: Number of the datagram since then.
        running: Its running requests, by target.
        results: Its results at targets that failed lately, by target.
        stops: The order of each roll-out whose new version it has found bad,
            or has heard to be bad, by service.
    """

    name: str
    start: _Count
    sequence: _Count
    running: dict[str, _Count]
    results: dict[str, Results] = {}
    stops: dict[str, _Count] = {}


_DECODER = msgspec.json.Decoder(_Datagram)

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
        self.results: dict[str, Results] = {}


class TargetState(typing.Protocol):
    """The state of the targets of an entry."""

    def count_running_by_target(self) -> dict[str, int]:
        """Returns how many requests of this entry each target runs."""
        ...

    def list_recent_results(self) -> dict[str, Results]:
        """Returns the results of targets that have failed lately."""
        ...

    def record_peer_results(self, address: str, results: Results) -> None:
        """Records new results of another entry."""
        ...


class RolloutStops(typing.Protocol):
    """The roll-outs that this entry has stopped by itself."""

    def list_stops(self) -> dict[str, int]:
        """Returns the order of each of them, by service."""
        ...

    def record_stops(self, stops: dict[str, int]) -> None:
        """Records those of another entry."""
        ...


def _limit(by_target: dict) -> dict:
    """Returns at most `MAX_TARGETS` items."""
    return dict(sorted(by_target.items())[:MAX_TARGETS])


class Gossip:
    """Sends the counts of this entry and adds up those of its peers.

    Attributes:
        running: Number of running requests of the peers, by target address.
        handlers: What handles other datagrams, by their first byte; raises
            ValueError for malformed ones.
        rollouts: The roll-outs whose stops are exchanged; None for none.
    """

    def __init__(
        self,
        name: str,
        clk: clock.Clock,
        on_change: collections.abc.Callable[[], None],
    ):
        self._name = name
        self._clock = clk
        self._targets: TargetState | None = None
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
        self.handlers: dict[bytes, collections.abc.Callable[[bytes], None]] = {}
        self.rollouts: RolloutStops | None = None

    async def start(self, address: str, targets: TargetState) -> None:
        """Listens at an address.

        Args:
            address: Host and port.
            targets: The targets whose state is exchanged.
        """
        self._targets = targets
        host, port = addresses.split(address)
        loop = asyncio.get_running_loop()
        with listening.report_bind_errors(address):
            self._transport, _ = await loop.create_datagram_endpoint(
                lambda: _Receiver(self._receive), local_addr=(host, port)
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
            # An entry without a valid address receives no datagrams.
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
        datagram = _Datagram(
            self._name,
            self._started_at,
            self._sequence,
            _limit(self._targets.count_running_by_target()),
            _limit(self._targets.list_recent_results()),
            {} if self.rollouts is None else self.rollouts.list_stops(),
        )
        data = msgspec.json.encode(datagram)
        for address in self._addresses:
            self._transport.sendto(data, address)

    def send_report(self, data: bytes, address: tuple[str, int]) -> None:
        """Sends a datagram of another kind to another entry."""
        if self._transport is not None and not self._transport.is_closing():
            self._transport.sendto(data, address)

    def send_to(self, address: str, data: bytes) -> None:
        """Sends a datagram of another kind to an entry."""
        # An entry without a valid address receives no datagrams.
        with contextlib.suppress(ValueError):
            self.send_report(data, addresses.split(address))

    def _receive(self, data: bytes) -> None:
        handler = self.handlers.get(data[:1])
        try:
            if handler is not None:
                handler(data)
                return
            datagram = _DECODER.decode(data)
        except (ValueError, RecursionError) as exc:
            if self._malformed_limit.may_write():
                logger.warning("ignored malformed datagram", reason=repr(exc))
            return
        peer = self._peers.setdefault(datagram.name, _PeerCounts())
        self._unresponsive_since.pop(datagram.name, None)
        sequence = (datagram.start, datagram.sequence)
        if sequence <= peer.sequence:
            return
        if datagram.start != peer.sequence[0]:
            peer.results.clear()
        peer.sequence = sequence
        peer.received_at = self._clock.now()
        peer.running = datagram.running
        for address, results in datagram.results.items():
            self._record_results(peer, address, results)
        if datagram.stops and self.rollouts is not None:
            self.rollouts.record_stops(datagram.stops)
        self._update_running()

    def _record_results(
        self, peer: _PeerCounts, address: str, results: Results
    ) -> None:
        """Records the increase since the last datagram with this target.

        The numbers of a target that was replaced start from 0 again.
        """
        known = peer.results.get(address, Results(0, 0))
        peer.results[address] = results
        answers = results.answers - known.answers
        failures = results.failures - known.failures
        if failures > 0 or answers > 0:
            self._targets.record_peer_results(
                address,
                Results(
                    max(0, min(answers, MAX_NEW_RESULTS)),
                    max(0, min(failures, MAX_NEW_RESULTS)),
                ),
            )

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
