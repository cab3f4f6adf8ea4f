"""Bounds how long the bytes of one connection occupy the event loop.

A body in chunks of one byte costs a thousand times the processor time of the
same body in one piece. Costly bytes are parsed in slices, one in each turn of
the loop for all connections together.
"""

import asyncio
import collections
import collections.abc

FIRST_SLICE_BYTES = 8192
MAX_SLICE_BYTES = 65_536
# A slice with more calls of the parser is costly.
MAX_CALLS = 200
# A slice with at most as many is cheap: the next one is longer.
FEW_CALLS = 16
COSTLY_SLICE_BYTES = 2048

_NOTHING = memoryview(b"")


class Turns:
    """Lets connections with costly bytes take turns, one slice a turn."""

    def __init__(self):
        self._waiting: collections.deque[Slicer] = collections.deque()
        self._is_scheduled = False

    def add(self, slicer: "Slicer") -> None:
        """Adds a connection behind the others."""
        self._waiting.append(slicer)
        if not self._is_scheduled:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)

    def _run(self) -> None:
        self._is_scheduled = False
        slicer = self._waiting.popleft()
        if self._waiting:
            self._is_scheduled = True
            asyncio.get_running_loop().call_soon(self._run)
        slicer.take_turn()


class Slicer:
    """Hands the received bytes of one connection to its parser.

    Attributes:
        pending: How many bytes wait to be parsed.
    """

    def __init__(
        self,
        turns: Turns,
        feed: collections.abc.Callable[[bytes | memoryview], None],
        set_reading: collections.abc.Callable[[bool], None],
    ):
        """Creates the slicer of one connection.

        Args:
            turns: Where connections with costly bytes wait.
            feed: Parses bytes, and ends the connection if they are wrong.
            set_reading: Pauses or resumes the reading of the connection.
        """
        self._turns = turns
        self._feed = feed
        self._set_reading = set_reading
        self._rest = _NOTHING
        self._size = FIRST_SLICE_BYTES
        self._calls = 0
        self._is_costly = False
        self._is_waiting = False
        self._is_held = False
        self.pending = 0

    def count_call(self) -> None:
        """Counts a call of the parser."""
        self._calls += 1

    def receive(self, data: bytes) -> None:
        """Parses received bytes, the costly ones in later turns."""
        is_free = not (self._is_held or self._is_waiting or self._is_costly)
        if is_free and not self.pending and len(data) <= self._size:
            self._parse(data)
            return
        self._rest = memoryview(
            bytes(self._rest) + data if self.pending else data
        )
        self.pending = len(self._rest)
        if self._is_held or self._is_waiting:
            return
        if self._is_costly:
            self._wait()
        else:
            self._go_on()

    def hold(self) -> None:
        """Parses nothing more until `release`."""
        self._is_held = True
        self._set_reading(False)

    def release(self) -> None:
        """Goes on with what has waited."""
        if not self._is_held:
            return
        self._is_held = False
        if self.pending and not self._is_waiting:
            self._wait()
        elif not self.pending:
            self._set_reading(True)

    def drop(self) -> None:
        """Forgets the bytes that wait."""
        self._rest = _NOTHING
        self.pending = 0

    def take_turn(self) -> None:
        """Parses one slice, and waits for another turn with the rest."""
        self._is_waiting = False
        if self._is_held:
            return
        if self.pending:
            self._parse_slice()
        if not self._is_held:
            self._go_on()

    def _go_on(self) -> None:
        while self.pending and not self._is_held:
            if self._is_costly:
                self._wait()
                return
            self._parse_slice()
        if not self._is_held:
            self._set_reading(True)

    def _wait(self) -> None:
        self._is_waiting = True
        self._set_reading(False)
        self._turns.add(self)

    def _parse_slice(self) -> None:
        part, self._rest = self._rest[: self._size], self._rest[self._size :]
        self.pending = len(self._rest)
        if not self.pending:
            # An empty view would keep the whole read.
            self._rest = _NOTHING
        self._parse(part)

    def _parse(self, part: bytes | memoryview) -> None:
        self._calls = 0
        self._feed(part)
        self._is_costly = self._calls > MAX_CALLS
        if self._is_costly:
            self._size = COSTLY_SLICE_BYTES
        elif self._calls <= FEW_CALLS:
            self._size = min(2 * self._size, MAX_SLICE_BYTES)
