"""Keeps the results of recent requests for `explain`."""

import collections
import dataclasses
import itertools
import secrets

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib

REQUEST_ID = b"cardamomkeel-request-id"
# In characters. The entry replaces longer ids of callers, since it keeps the id
# with each result.
MAX_ID_LENGTH = 100
# Bounds memory: a result takes some hundred bytes.
MAX_RESULTS = 2000


@dataclasses.dataclass(frozen=True)
class Decision:
    """The result of one request and the target it was sent to.

    Attributes:
        request_id: The id that is returned with the answer.
        service: The requested service.
        outcome: The outcome reported to the caller.
        target: The last target that was tried; empty for none.
        owner: The name of the entry that owned the target; empty for none.
        sign: The kind of success or failure of the last attempt.
        reason: Why there is no answer; empty if there is one.
        usable: The number of usable targets of the service.
        elapsed_ms: The duration of the request.
        at_ms: When the request ended, on this entry's clock.
    """

    request_id: str
    service: str
    outcome: str
    target: str
    owner: str
    sign: str
    reason: str
    usable: int
    elapsed_ms: float
    at_ms: float


class RecentResults:
    """Keeps the results of the newest requests, up to MAX_RESULTS."""

    def __init__(
        self,
        session: session_lib.Session,
        clk: clock.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._session = session
        self._clock = clk
        self._metrics = metrics
        self._prefix = secrets.token_hex(4)
        self._numbers = itertools.count(1)
        self._results: collections.deque[Decision] = collections.deque(
            maxlen=MAX_RESULTS
        )

    def make_id(self, given: bytes) -> str:
        """Returns the id from the caller if it is valid, else a new one."""
        if 0 < len(given) <= MAX_ID_LENGTH and given.isascii():
            return given.decode()
        return f"{self._prefix}-{next(self._numbers)}"

    def record(
        self,
        request_id: str,
        service: str,
        req_result: messages.RequestResult,
        started: clock.Millis,
    ) -> None:
        """Keeps the result of a request and updates the metrics."""
        now = self._clock.now()
        elapsed_ms = now - started
        outcome = req_result.outcome.value
        self._metrics.count(
            "requests",
            "Requests of callers, by service and outcome.",
            service=service,
            outcome=outcome,
        )
        self._metrics.observe(
            "request_duration",
            "How long requests of callers took.",
            elapsed_ms,
            service=service,
        )
        view = self._session.view
        known = view.targets.get(req_result.target)
        owner = None if known is None else view.entries.get(known.owner)
        self._results.append(
            Decision(
                request_id=request_id,
                service=service,
                outcome=outcome,
                target=req_result.target,
                owner="" if owner is None else owner.name,
                sign=req_result.sign.value,
                reason=""
                if req_result.error is None
                else req_result.error.message,
                usable=len(view.get_usable_targets(service)),
                elapsed_ms=round(elapsed_ms, 3),
                at_ms=round(now, 3),
            )
        )

    def find(self, request_id: str) -> list[Decision]:
        """Returns the kept results of requests with an id."""
        return [d for d in self._results if d.request_id == request_id]
