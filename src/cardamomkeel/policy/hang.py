"""Decides when a request is known to hang at its target.

A target that is full may take a request and never answer it, nor any other on
that connection. A long wait alone proves nothing, since work on a machine that
is slowed takes several times as long. But a target that reports its load tells
whether it works on anything: one that twice reports no request at all, while
one of this entry has been unanswered for longer than typical work takes, does
not have it.

Answers targets that hang while their health checks are good.
"""

from cardamomkeel import clock
from cardamomkeel.policy import unanswered

# A request that may be repeated is looked for after this multiple of its work.
REPEATABLE_FACTOR = 2.5
# Time between the two reports: an answer may be on its way when the first one
# is made.
CONFIRM_MS = 100.0
# Time between checks of a target that works.
RECHECK_FACTOR = 1.0
# A target that hung gets no requests for this time, then one at first.
HOLD_MS = 1000.0


def check_after_ms(
    expected_ms: clock.Millis, objective_ms: clock.Millis, idempotent: bool
) -> clock.Millis:
    """Returns after what time without an answer a target is asked.

    Args:
        expected_ms: The expected work time of the route.
        objective_ms: The objective of the route.
        idempotent: Whether the request may be sent to another target. One that
            may not gains little by an early end.
    """
    if idempotent:
        return expected_ms * REPEATABLE_FACTOR
    return unanswered.limit_ms(expected_ms, objective_ms)
