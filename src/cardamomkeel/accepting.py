"""Accepts the connections that wait when a server stops to listen."""

import asyncio
import collections.abc

from cardamomkeel import listening

# Turns of the event loop without a new connection after which none waits. The
# loop accepts about one connection in a turn, and reads its bytes in a later
# one.
IDLE_TURNS = 10


async def accept_waiting(
    count_accepted: collections.abc.Callable[[], int],
) -> None:
    """Accepts the connections that wait; closing the socket resets them.

    Args:
        count_accepted: Returns how many connections were accepted so far.
    """
    idle_turns = 0
    for _ in range(listening.BACKLOG):
        before = count_accepted()
        await asyncio.sleep(0)
        idle_turns = idle_turns + 1 if count_accepted() == before else 0
        if idle_turns == IDLE_TURNS:
            return
