"""Limits how long a request waits at an entry that has just started.

After a power loss all callers reconnect at once to entries that have no routes
yet but will receive them within moments. Callers have few attempts, and a
refusal costs them one.
"""

from cardamomkeel import clock

# An entry receives its routes within this time of its start if a majority of
# the control VMs started with it. An entry without routes for longer refuses
# requests at once.
ROUTES_LOAD_MS = 1000.0
# Share of the caller's remaining time that a request may wait, so that the rest
# is enough for a refusal and a retry.
MAX_WAIT_SHARE = 0.25


def max_wait_ms(
    now: clock.Millis, started: clock.Millis, remaining_ms: clock.Millis
) -> clock.Millis:
    """Returns how long a request may wait for routes; 0 to refuse at once.

    Args:
        now: Current time.
        started: When the entry started.
        remaining_ms: Time that the caller will still wait.
    """
    until_routes_ms = started + ROUTES_LOAD_MS - now
    return max(0.0, min(until_routes_ms, remaining_ms * MAX_WAIT_SHARE))
