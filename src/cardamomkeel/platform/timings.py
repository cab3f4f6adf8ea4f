"""Derives the times of this program from what the platform has agreed on.

The table in docs/design/platform.md says which promise each of them serves.
"""

from cardamomkeel import clock
from cardamomkeel.platform import node_file

# An entry asks for news so often that two questions that fail, and one that
# is answered, fit into what a change may take.
POLLS_PER_CHANGE = 4
# Bounds of that: what a poll costs, and how soon a lost entry is noticed.
MIN_POLL_WAIT_MS = 50
MAX_POLL_WAIT_MS = 500
POLL_TIMEOUT_MS = 450
# Entries without routes serve nobody after a loss of power, so a leader has to
# be there soon.
HEARTBEAT_MS = 100
MIN_ELECTION_TIMEOUT_MS = 300
MAX_ELECTION_TIMEOUT_MS = 600
LEASE_MS = 2000
# Of the time that a stop may take, for what has to happen after the last
# answer.
STOP_MARGIN_MS = 700
# A stopping entry takes new connections for this share of a stop, since some
# callers do not know yet that it stops.
LISTEN_SHARE = 0.4
# Callers keep an answer about entries for so long.
KEEP_ADDRESSES_MS = 2000


def poll_wait_ms(bounds: node_file.Bounds) -> int:
    """Returns how often an entry asks for news."""
    wait_ms = bounds.config_apply_ms / POLLS_PER_CHANGE
    return int(max(MIN_POLL_WAIT_MS, min(MAX_POLL_WAIT_MS, wait_ms)))


def stop_within_ms(bounds: node_file.Bounds) -> int:
    """Returns how long a planned stop may take."""
    grace_ms = bounds.grace_s * clock.MS_PER_SECOND
    return int(max(0.0, grace_ms - STOP_MARGIN_MS))


def listen_on_ms(bounds: node_file.Bounds) -> int:
    """Returns for how long a stopping entry takes new connections."""
    return int(bounds.grace_s * clock.MS_PER_SECOND * LISTEN_SHARE)


def keep_addresses_ms(bounds: node_file.Bounds) -> int:
    """Returns how long callers may keep an answer about entries."""
    return int(min(KEEP_ADDRESSES_MS, bounds.ttl_max_s * clock.MS_PER_SECOND))
