"""Decides when a request counts as unanswered at its target.

A target may take some of its requests and never answer them. Callers that may
not repeat a request wait until their deadline, often many times the work time,
so the deadline is too late a sign for the entries to avoid the target. A
request that takes several times as long as expected counts as a failure of its
target; its answer is still passed on if it arrives.
"""

from cardamomkeel import clock

# Neighbours slow down the work on a machine by up to this factor.
WORK_FACTOR = 5.0


def limit_ms(
    expected_ms: clock.Millis, objective_ms: clock.Millis
) -> clock.Millis:
    """Returns after what time a request counts as unanswered.

    Args:
        expected_ms: The expected work time of its route.
        objective_ms: The objective of its route.
    """
    return max(objective_ms, expected_ms * WORK_FACTOR)
