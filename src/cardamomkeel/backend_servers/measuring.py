"""Keeps the cost of measuring within the budget of the settings text."""

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.policy import measuring
from cardamomkeel.routing import session as session_lib

# The shortest period of announcements, whatever the budget allows. A target
# is removed after four missed announcements.
MIN_PERIOD_MS = 2000
# The size of an announcement and its answer with headers, without the body.
OVERHEAD_BYTES = 550
# The size of the body of a typical announcement.
BODY_BYTES = 150
# The name of the rate limiter that all services share.
ALL_SERVICES = ""


class MeasuringBudget:
    """Charges the messages of measuring to the budget.

    Senders of probes and reports call `try_acquire` first and do not send if
    it returns False.
    """

    def __init__(
        self,
        session: session_lib.Session,
        clk: clock.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._session = session
        self._clock = clk
        self._metrics = metrics
        self._limiters = measuring.RateLimiters()

    def get_period_ms(self, service: str) -> int:
        """Returns the shortest period of announcements for each target."""
        view = self._session.view
        settings = view.measuring
        message_bytes = OVERHEAD_BYTES + BODY_BYTES
        all_services_ms = measuring.get_period_ms(
            settings.rate(), len(view.targets), message_bytes
        )
        service_ms = measuring.get_period_ms(
            settings.service_rate(),
            len(view.get_targets_by_service(service)),
            message_bytes,
        )
        return max(MIN_PERIOD_MS, int(all_services_ms), int(service_ms))

    def try_acquire(self, service: str, size_bytes: int, kind: str) -> bool:
        """Charges one message that is not a periodic announcement.

        The budget is for all entries; this entry may use an equal share of it.
        """
        settings = self._session.view.measuring
        entries = max(1, len(self._session.view.entries))
        share = (1 - measuring.PERIODIC_SHARE) / entries
        rates = {
            ALL_SERVICES: settings.rate().scaled(share),
            service: settings.service_rate().scaled(share),
        }
        is_acquired = self._limiters.try_acquire(
            rates, size_bytes, self._clock.now()
        )
        self.record(
            service, size_bytes, kind if is_acquired else f"{kind}-refused"
        )
        return is_acquired

    def record(self, service: str, size_bytes: int, kind: str) -> None:
        """Counts a message in the metrics."""
        self._metrics.count(
            "measuring_messages",
            "Messages of measuring, by service and kind.",
            service=service,
            kind=kind,
        )
        self._metrics.count(
            "measuring_bytes",
            "Bytes of measuring, by service and kind.",
            by=size_bytes,
            service=service,
            kind=kind,
        )
