"""When the end of a long request is kept back for a moment.

Answers noisy neighbours that slow a target down for some hundred milliseconds
at a time, behind a slow link: what a target said of itself is true for a few
milliseconds, and the body of a request takes 16 ms for 4 KB on 2 Mbit/s. Work
begins once all of a request is there, so its last byte decides how long the
work takes.
"""

from cardamomkeel import clock

# What a target said before counts for a request that takes no longer than this.
MIN_TRANSIT_MS = 4.0
# A target that says that work takes this many times the usual is slowed.
SLOW_FACTOR = 1.5
# For how long the end is kept back: twice as long as machines are slowed as a
# rule.
MAX_HOLD_MS = 300.0
# How often the target is asked again.
PROBE_INTERVAL_MS = 15.0


def transit_ms(size: int, link_bytes_per_s: float) -> clock.Millis:
    """Returns how long a request is on its way through a link.

    Args:
        size: Its bytes.
        link_bytes_per_s: What the link carries; 0 for no bound.
    """
    if not link_bytes_per_s:
        return 0.0
    return size / link_bytes_per_s * clock.MS_PER_SECOND


def is_slow_transfer(size: int, link_bytes_per_s: float) -> bool:
    """Tells whether a request takes so long that its target may change."""
    return transit_ms(size, link_bytes_per_s) > MIN_TRANSIT_MS
