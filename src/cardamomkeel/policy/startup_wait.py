"""Decides how long a request waits at an entry that has just started.

Answers the load after a loss of power: all callers return at once to entries
that do not know their routes yet, but will within moments. A caller has few
attempts, and one that is refused then has lost one of them.
"""

from cardamomkeel import clock

# An entry learns its routes within this time of its start where a majority of
# the control VMs started with it. One that is without them for longer refuses
# at once.
ROUTES_LOAD_MS = 1000.0
# A request may wait for this share of the time that its caller has, so that
# the rest is enough to be refused and come back.
MAX_WAIT_SHARE = 0.25


def max_wait_ms(
    now: clock.Millis, started: clock.Millis, remaining_ms: clock.Millis
) -> clock.Millis:
    """Returns how long a request may wait for routes; 0 for not at all.

    Args:
        now: The time.
        started: When the entry started.
        remaining_ms: How long the caller still waits.
    """
    until_routes_ms = started + ROUTES_LOAD_MS - now
    return max(0.0, min(until_routes_ms, remaining_ms * MAX_WAIT_SHARE))
