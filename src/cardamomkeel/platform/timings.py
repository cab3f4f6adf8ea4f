"""Derives internal times from the bounds agreed on with the platform.

A table in docs/design/platform.md lists the promise behind each of them.
"""

from cardamomkeel import clock
from cardamomkeel.platform import node_file

# Two failed polls and a successful one have to fit into the time in which a
# change must take effect.
POLLS_PER_CHANGE = 4
# The minimum bounds the cost of polling, the maximum the time until a lost
# entry is noticed.
MIN_POLL_WAIT_MS = 50
MAX_POLL_WAIT_MS = 500
POLL_TIMEOUT_MS = 450
# After a power failure, entries can't serve until a leader sends them routes,
# so elections have to be fast.
HEARTBEAT_MS = 100
MIN_ELECTION_TIMEOUT_MS = 300
MAX_ELECTION_TIMEOUT_MS = 600
LEASE_MS = 2000
# Part of the stop time that is reserved for the steps after the last answer.
STOP_MARGIN_MS = 700
# A stopping entry accepts new connections for this share of the stop time,
# since some callers do not know yet that it is stopping.
LISTEN_SHARE = 0.4
# A request that a caller sent later than this after the begin of a stop has to
# be answered before the stop ends, however long its target takes.
LATE_REQUEST_MS = 3000
# How long before that a stopping entry stops to listen: it goes on reading the
# requests of connections that are open.
LATE_REQUEST_MARGIN_MS = 600
# A target that asks for more time than this many recoveries of the deployment
# is tried once after them.
RECOVERIES_PER_HOLD = 4
# Callers cache the addresses of entries for this time at most.
KEEP_ADDRESSES_MS = 2000


def poll_wait_ms(bounds: node_file.Bounds) -> int:
    """Returns the interval between polls of an entry."""
    wait_ms = bounds.config_apply_ms / POLLS_PER_CHANGE
    return int(max(MIN_POLL_WAIT_MS, min(MAX_POLL_WAIT_MS, wait_ms)))


def stop_within_ms(bounds: node_file.Bounds) -> int:
    """Returns the time limit of a planned stop."""
    grace_ms = bounds.grace_s * clock.MS_PER_SECOND
    return int(max(0.0, grace_ms - STOP_MARGIN_MS))


def listen_on_ms(bounds: node_file.Bounds) -> int:
    """Returns how long a stopping entry accepts new connections."""
    listen_ms = bounds.grace_s * clock.MS_PER_SECOND * LISTEN_SHARE
    return int(min(listen_ms, LATE_REQUEST_MS - LATE_REQUEST_MARGIN_MS))


def keep_addresses_ms(bounds: node_file.Bounds) -> int:
    """Returns how long callers may cache the addresses of entries."""
    return int(min(KEEP_ADDRESSES_MS, bounds.ttl_max_s * clock.MS_PER_SECOND))


def longest_hold_ms(bounds: node_file.Bounds) -> int:
    """Returns the longest time for which a target may ask for no requests."""
    recovery_ms = bounds.recovery_s * clock.MS_PER_SECOND
    return int(RECOVERIES_PER_HOLD * recovery_ms)
