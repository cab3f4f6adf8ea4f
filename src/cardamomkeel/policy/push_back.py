"""Decides when a target that pushes back gets requests again.

A target that is overloaded refuses a request and names a time in which it wants
no more of them. Sending on would keep it overloaded and use up the budget of
resends, so it gets none. What waited meanwhile would fill it again at once, so
it comes back by one request, then two, four, and so on.
"""

import collections.abc
import dataclasses
import re

from cardamomkeel import clock

# Longer numbers are not read: no time that a target may name needs them.
_SECONDS = re.compile(rb"[0-9]{1,15}(\.[0-9]{0,15})?")
# Requests that a target may run once its hold is over.
FIRST_RETURNING = 1
# From this limit on, a target has recovered: slots and load decide alone.
RECOVERED_LIMIT = 16


def parse_retry_after(
    values: collections.abc.Iterable[bytes],
) -> clock.Millis | None:
    """Returns the time that a refusal names; None if it names none.

    Args:
        values: The values of all Retry-After headers. The longest of those
            that are seconds, whole or with a fraction, counts; dates do not.
    """
    waits_ms = [
        float(value) * clock.MS_PER_SECOND
        for value in (value.strip() for value in values)
        if _SECONDS.fullmatch(value)
    ]
    return max(waits_ms, default=None)


@dataclasses.dataclass(slots=True)
class PushBack:
    """The hold of one target, and its return.

    Attributes:
        held_until: Until when it gets no requests, on the local clock.
        limit: How many requests of this entry it may run after that.
    """

    held_until: clock.Millis
    limit: int = FIRST_RETURNING

    def extend(self, until: clock.Millis) -> None:
        """Holds the target again; a longer hold replaces a shorter one."""
        self.held_until = max(self.held_until, until)
        self.limit = FIRST_RETURNING

    def is_held(self, now: clock.Millis) -> bool:
        """Returns whether the target gets no requests."""
        return now < self.held_until

    def allows(self, running: int, now: clock.Millis) -> bool:
        """Returns whether the target may get one more request.

        Args:
            running: How many requests of this entry it runs.
            now: The time.
        """
        return now >= self.held_until and running < self.limit

    def record_answer(self, sent_at: clock.Millis) -> None:
        """Raises the limit after an answer to a request sent since the hold."""
        if sent_at >= self.held_until:
            self.limit *= 2

    def has_recovered(self) -> bool:
        """Returns whether the target needs no limit any more."""
        return self.limit >= RECOVERED_LIMIT


def hold_until(
    wait_ms: clock.Millis, longest_ms: clock.Millis, now: clock.Millis
) -> clock.Millis:
    """Returns the end of a hold; `longest_ms` bounds what a target may ask."""
    return now + min(wait_ms, longest_ms)


def should_wait(
    return_ms: clock.Millis,
    work_ms: clock.Millis,
    remaining_ms: clock.Millis,
    max_wait_ms: clock.Millis,
) -> bool:
    """Returns whether a request waits for the first target that returns.

    Otherwise it is refused at once, since it can't be served in time.

    Args:
        return_ms: Time until the first target may get a request.
        work_ms: Expected work time.
        remaining_ms: Time until the deadline.
        max_wait_ms: How long a request may wait for a target.
    """
    return return_ms <= max_wait_ms and return_ms + work_ms <= remaining_ms
