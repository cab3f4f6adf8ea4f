"""Keeps what measuring costs within the budget of the settings text."""

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.policy import measuring
from cardamomkeel.routing import session as session_lib

# Targets announce themselves no more often than this, whatever the budget
# allows; one that has left out four times is gone.
MIN_PERIOD_MS = 2000
# What an announcement and its answer take beside its body, with headers.
OVERHEAD_BYTES = 550
# The body of an ordinary announcement.
BODY_BYTES = 150
ALL_SERVICES = ""


class MeasuringBudget:
    """Draws messages of measuring from the budget.

    Whoever sends a probe or a report calls `take` first and leaves it out
    where that is refused.
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
        self._meters = measuring.Meters()

    def get_period_ms(self, service: str) -> int:
        """Returns how often each target of a service may announce itself."""
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
        """Draws one message that is not an ordinary announcement.

        This entry may draw its share: the budget is for all entries.
        """
        settings = self._session.view.measuring
        entries = max(1, len(self._session.view.entries))
        share = (1 - measuring.ORDINARY_SHARE) / entries
        rates = {
            ALL_SERVICES: settings.rate().scaled(share),
            service: settings.service_rate().scaled(share),
        }
        is_acquired = self._meters.take(rates, size_bytes, self._clock.now())
        self.record(
            service, size_bytes, kind if is_acquired else f"{kind}-refused"
        )
        return is_acquired

    def record(self, service: str, size_bytes: int, kind: str) -> None:
        """Shows a message in the metrics."""
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
