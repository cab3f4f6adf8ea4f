"""Estimates the work time of requests of one service from few answers.

Routes that share a service differ in their work and in the time that their
callers have, so each has an estimate of its own.

Load shifts within milliseconds, and whether a slowed machine is too slow for a
request can be decided only with a good estimate of the usual work time. An
entry needs the estimate soon after its start, when all callers reconnect at
once and it has few answers of each service.
"""

from cardamomkeel import clock
from cardamomkeel.policy import by_route
from cardamomkeel.policy import saturation

# Initial estimate as a share of the route's objective, as objectives allow for
# answers that take twice the usual time.
INITIAL_SHARE = 0.4
# The estimate is the mean of up to this many samples, and an exponential moving
# average from then on. The initial estimate counts as one sample.
WINDOW_ANSWERS = 20
# From this many answers on, the mean is better than the initial estimate.
MIN_KNOWN_ANSWERS = 3
# From this many answers on, each answer is clamped.
MIN_BOUNDED_ANSWERS = 8
# The upper bound of a clamped answer, as a multiple of the estimate.
MAX_ANSWER_FACTOR = 1.5


class WorkTime:
    """Estimated work time of one route at all targets of one service."""

    def __init__(self):
        self._initial_ms = 0.0
        self._mean_ms = 0.0
        self._answers = 0

    def set_objective(self, objective_ms: clock.Millis) -> None:
        """Derives the initial estimate from the objective of the route."""
        self._initial_ms = objective_ms * INITIAL_SHARE

    def record(self, took_ms: clock.Millis) -> None:
        """Updates the estimate with an answer of a machine at usual speed."""
        expected = self.expect_ms()
        if self._answers >= MIN_BOUNDED_ANSWERS:
            took_ms = min(took_ms, expected * MAX_ANSWER_FACTOR)
        self._answers += 1
        share = 1 / min(WINDOW_ANSWERS, self._answers + 1)
        self._mean_ms = expected + share * (took_ms - expected)

    def is_known(self) -> bool:
        """Returns whether answers can be compared with the estimate."""
        return self._answers >= MIN_KNOWN_ANSWERS

    def expect_ms(self) -> clock.Millis:
        """Returns the expected work time of a request."""
        return self._mean_ms if self._answers else self._initial_ms


class ServiceWork:
    """Estimated work of one service.

    Attributes:
        saturation: Slowdown of its work at targets that are nearly full.
    """

    def __init__(self):
        self.saturation = saturation.SaturationSlowdown()
        self._routes = by_route.ByRoute(WorkTime)

    def get(
        self, host: str, prefix: str, objective_ms: clock.Millis
    ) -> WorkTime:
        """Returns the estimate of a route with its current objective."""
        work = self._routes.get(host, prefix)
        work.set_objective(objective_ms)
        return work
