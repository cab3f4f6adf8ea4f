"""The room for the body that a connection receives."""

import asyncio
import collections.abc

from cardamomkeel import clock
from cardamomkeel.gateway import held_memory
from cardamomkeel.policy import memory_pressure

# How often a body that waits for room tries again.
RETRY_MS = 100.0


class BodyRoom:
    """The room for the body that a connection receives.

    A body without room waits for it, up to `memory_pressure.MAX_WAIT_MS`.

    Attributes:
        wanted: For which length of the body room is held or waited for.
    """

    def __init__(
        self,
        memory: held_memory.HeldMemory,
        account: held_memory.Account,
        copies: int,
        set_waiting: collections.abc.Callable[[bool], None],
        refuse: collections.abc.Callable[[], None],
    ):
        """Creates the room of one connection.

        Args:
            memory: The memory of the process.
            account: The bytes of the connection.
            copies: How often the server holds a body while it handles it.
            set_waiting: Stops or goes on with parsing.
            refuse: Refuses the request.
        """
        self._memory = memory
        self._account = account
        self._copies = copies
        self._set_waiting = set_waiting
        self._refuse = refuse
        self._held = 0
        self.wanted = 0
        self._waits_until = 0.0
        self._timer: asyncio.TimerHandle | None = None

    def can_ever_hold(self, size: int) -> bool:
        """Returns whether a body of this length finds room in calm."""
        budget = self._memory.budget
        limit = memory_pressure.get_limit(budget.limit, size)
        return size * self._copies <= limit

    def is_waiting(self) -> bool:
        """Returns whether the body waits for room."""
        return self._timer is not None

    def grow(self, size: int) -> None:
        """Holds a body of this length, or waits until that is possible."""
        self.wanted = max(self.wanted, size)
        if self._timer is None and not self._try_grow():
            self._account.is_waiting = True
            self._waits_until = (
                self._memory.clk.now() + memory_pressure.MAX_WAIT_MS
            )
            self._set_waiting(True)
            self._retry_later()

    def _try_grow(self) -> bool:
        more = self.wanted * self._copies - self._held
        if more > 0:
            if not self._account.try_hold(more, self.wanted):
                return False
            self._held += more
        return True

    def _retry_later(self) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            clock.seconds(RETRY_MS), self._retry
        )

    def _retry(self) -> None:
        self._timer = None
        if self._try_grow():
            self._end_wait()
        elif self._memory.clk.now() >= self._waits_until:
            self._memory.refused += 1
            self._end_wait()
            self._refuse()
        else:
            self._retry_later()

    def _end_wait(self) -> None:
        self._account.is_waiting = False
        self._account.note_used()
        self._set_waiting(False)

    def hand_over(self) -> int:
        """Returns the held bytes, which the caller frees from now on."""
        held, self._held = self._held, 0
        self.wanted = 0
        return held

    def drop(self) -> None:
        """Frees the bytes of the body."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._account.is_waiting = False
            self._set_waiting(False)
        held = self.hand_over()
        if held:
            self._account.charge(-held)
