"""Counts the bytes that a process holds of heads, bodies and answers.

All HTTP servers of a process share one budget, and so do the connections to
targets. Whoever finds no room waits for a moment; connections that stood still
are ended for it.
"""

import collections.abc
import typing

import loguru

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.log_lines import limits as log_limits
from cardamomkeel.policy import memory_pressure
from cardamomkeel.policy import process_limits

# How long a search for connections to end that found none is not repeated.
SEARCH_INTERVAL_MS = 50.0
# A budget for servers without a limit.
NO_LIMIT = 1 << 62

logger = loguru.logger


class Owner(typing.Protocol):
    """A connection that holds bytes.

    Attributes:
        account: The bytes that it holds.
    """

    account: "Account"

    def is_endable(self) -> bool:
        """Returns whether its request has not run, or its answer waits."""

    def end_for_room(self) -> None:
        """Refuses its request, or closes it."""

    def end_for_place(self) -> None:
        """Closes it at once."""


class HeldMemory:
    """The budget of a process, and who holds how much of it.

    Attributes:
        budget: The budget; connections to targets take their share of it.
        ended: How many connections were ended so that others found room.
        refused: How many bodies found no room.
    """

    def __init__(self, limit: int, clk: clock.Clock):
        self.budget = buffers.Budget(limit)
        self.budget.make_room = self.make_room
        self.clk = clk
        self.accounts: set[Account] = set()
        self.ended = 0
        self.refused = 0
        self._next_search = 0.0
        self._log_limit = log_limits.Limit("ended connection for room", clk)

    def dump(self) -> dict[str, int]:
        """Returns the state for operators."""
        return {
            "held": self.budget.held,
            "limit": self.budget.limit,
            "connections": len(self.accounts),
            "ended": self.ended,
            "refused": self.refused,
        }

    def set_gauges(self, metrics: metrics_lib.Metrics) -> None:
        """Sets the metrics of the memory; called before they are rendered."""
        for name, doc, value in (
            (
                "bytes_held",
                "Bytes held of heads, bodies and answers.",
                self.budget.held,
            ),
            ("bytes_allowed", "Bytes that may be held.", self.budget.limit),
            ("connections", "Connections of callers.", len(self.accounts)),
            (
                "connections_ended",
                "Connections ended so that others found room.",
                self.ended,
            ),
            ("bodies_refused", "Bodies that found no room.", self.refused),
        ):
            metrics.gauge(name, doc, float(value))

    def is_over(self) -> bool:
        """Returns whether more is held than the budget allows."""
        return self.budget.held > self.budget.limit

    def make_room(self, needed: int) -> None:
        """Ends connections that stood still, if that frees enough bytes."""
        now = self.clk.now()
        if now < self._next_search:
            return
        ended = memory_pressure.choose_ended(
            [account.describe() for account in self.accounts], needed
        )
        if not ended:
            self._next_search = now + SEARCH_INTERVAL_MS
        for holder in ended:
            self._log_end(holder)
            holder.key.owner.end_for_room()

    def _log_end(self, holder: memory_pressure.Holder) -> None:
        self.ended += 1
        if self._log_limit.may_write():
            logger.warning(
                "ended connection for room",
                bytes=holder.size,
                still_ms=round(holder.still_ms),
                held=self.budget.held,
                limit=self.budget.limit,
            )

    def end_stillest(
        self,
        owners: collections.abc.Iterable[Owner],
        min_still_ms: clock.Millis = 0.0,
    ) -> bool:
        """Ends the connection that stood still longest; False if there is none.

        Args:
            owners: The connections that may be ended.
            min_still_ms: How long it has to have stood still.
        """
        moved_by = self.clk.now() - min_still_ms
        accounts = [
            owner.account
            for owner in owners
            if owner.account.moved_at <= moved_by
        ]
        if not accounts:
            return False
        stillest = min(accounts, key=lambda account: account.moved_at)
        self._log_end(stillest.describe())
        stillest.owner.end_for_place()
        return True


class Account:
    """The bytes that one connection holds.

    Attributes:
        owner: The connection.
        is_waiting: Whether it stands still because of this process.
        moved_at: Until when it counts as moving.
    """

    def __init__(self, memory: HeldMemory, owner: Owner):
        self.owner = owner
        self.is_waiting = False
        self._memory = memory
        self._size = 0
        self._is_closed = False
        self.moved_at = memory.clk.now()
        memory.accounts.add(self)
        self.charge(process_limits.CONNECTION_BYTES)

    def describe(self) -> memory_pressure.Holder:
        """Returns what it holds for the decision on whom to end."""
        if not self.owner.is_endable():
            return memory_pressure.Holder(self, 0, 0.0)
        still_ms = self._memory.clk.now() - self.moved_at
        if self.is_waiting:
            still_ms = 0.0
        return memory_pressure.Holder(self, self._size, still_ms)

    def note_moved(self, size: int) -> None:
        """Notes that the caller sent or took some bytes."""
        self.moved_at = memory_pressure.advance(
            self.moved_at, size, self._memory.clk.now()
        )

    def note_used(self) -> None:
        """Notes that a request began or ended."""
        self.moved_at = self._memory.clk.now()

    def charge(self, size: int) -> None:
        """Holds bytes that are there already; a negative size frees them."""
        if self._is_closed:
            return
        self._size += size
        if size < 0:
            self._memory.budget.release(-size)
        else:
            self._memory.budget.held += size

    def try_hold(self, size: int, body_size: int) -> bool:
        """Holds bytes if there is room; ends others that stood still.

        Args:
            size: How many bytes.
            body_size: Length of the body that they belong to.
        """
        budget = self._memory.budget
        limit = memory_pressure.get_limit(budget.limit, body_size)
        if budget.held + size > limit:
            self._memory.make_room(budget.held + size - limit)
        if budget.held + size > limit:
            return False
        self.charge(size)
        return True

    def close(self) -> None:
        """Frees all bytes; nothing more is counted."""
        self._is_closed = True
        self._memory.accounts.discard(self)
        size, self._size = self._size, 0
        self._memory.budget.release(size)
