"""Decides when the end of a request body is held back for a moment.

Noisy neighbours slow a target down for some hundred milliseconds at a time.
The load that a target reports is valid for a few milliseconds, but on a slow
link of 2 Mbit/s a body of 4 KB takes 16 ms. A target starts work once the
request is complete, so the arrival of the last byte decides whether the work
is slow.
"""

from cardamomkeel import clock

# The load that a target reported stays valid for transfers up to this time.
MIN_TRANSIT_MS = 4.0
# A target is slowed if it reports this multiple of its usual work time.
SLOW_FACTOR = 1.5
# Twice as long as machines are usually slowed.
MAX_HOLD_MS = 300.0
# Pause between load probes while the end is held back.
PROBE_INTERVAL_MS = 15.0


def transit_ms(size: int, link_bytes_per_s: float) -> clock.Millis:
    """Returns how long the transfer of a request over a link takes.

    Args:
        size: Size of the request in bytes.
        link_bytes_per_s: Capacity of the link; 0 for no limit.
    """
    if not link_bytes_per_s:
        return 0.0
    return size / link_bytes_per_s * clock.MS_PER_SECOND


def is_slow_transfer(size: int, link_bytes_per_s: float) -> bool:
    """Returns whether a transfer takes longer than `MIN_TRANSIT_MS`.

    Load that a target reported before may then be out of date.
    """
    return transit_ms(size, link_bytes_per_s) > MIN_TRANSIT_MS
