"""Dispatch of requests to the targets that this entry owns."""

import random

import anyio

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.backend_servers import client as client_lib
from cardamomkeel.control import client as control_client
from cardamomkeel.routing import attempts as attempts_lib
from cardamomkeel.routing import handover as handover_lib
from cardamomkeel.routing import hedged_requests as hedged_requests_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import queueing
from cardamomkeel.routing import run_time as run_time_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import targets as targets_lib
from cardamomkeel.settings import services

_RUN_TIME_NOT_CONFIRMED = messages.not_run(
    "control did not confirm in time that it may run for so long",
    "send it to another entry, or with a shorter deadline",
    messages.Sign.FULL,
)


class Owner:
    """Dispatches requests to the targets that this entry owns."""

    def __init__(
        self,
        session: session_lib.Session,
        http: client_lib.Client,
        control: control_client.ControlClient,
        clk: clock.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
    ):
        self._session = session
        self._clock = clk
        self._run_time = run_time_lib.RunTimeLimiter(session, clk)
        self._targets = targets_lib.Targets(session, clk, rng, self._run_time)
        self._queues = queueing.Queues(session, self._targets, clk)
        self._handover = handover_lib.Handover(
            session, control, clk, self._targets.slot_freed
        )
        attempts = attempts_lib.Attempts(
            session, self._targets, http, clk, metrics, self._run_time
        )
        self._hedged_requests = hedged_requests_lib.HedgedRequests(
            session, self._targets, self._queues, attempts, clk, metrics
        )
        attempts.on_success = self._hedged_requests.record_latency
        attempts.on_slot_freed = self._queues.serve

    @property
    def owned(self) -> dict[str, targets_lib.OwnedTarget]:
        """The targets that this entry owns, by address."""
        return self._targets.owned

    def get_service(self, name: str) -> services.Service | None:
        """Returns the settings of a service, or None."""
        return self._session.view.get_service(name)

    def apply_view(self) -> None:
        """Updates the owned targets from the view and serves the queues."""
        self._handover.add(self._targets.apply_view())
        self._targets.slot_freed.notify()
        self._targets.expiries_changed.notify()
        self._queues.serve_all()

    def record_connections_closed(self, address: str) -> None:
        """Records that a target closed its last unused connection."""
        self._targets.begin_cold_start(address)

    async def run(self) -> None:
        """Runs hedging, handover and the queues until it is cancelled."""
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._hedged_requests.run)
            tasks.start_soon(self._handover.run)
            tasks.start_soon(self._serve_on_expiry)

    async def _serve_on_expiry(self) -> None:
        """Serves the queues when held slots expire."""
        while True:
            # The time is read before the queues are served, so that a slot that
            # expires in between is not missed.
            since = self._clock.now()
            self._queues.serve_all()
            remaining_ms = self._targets.next_expiry(since) - self._clock.now()
            timeout_s = (
                None
                if remaining_ms == float("inf")
                else clock.seconds(remaining_ms)
            )
            await self._targets.expiries_changed.wait(timeout_s)

    async def dispatch(
        self, req: messages.Request, excluded: frozenset[str]
    ) -> messages.RequestResult:
        """Sends a request to one of the owned targets.

        Args:
            req: The request.
            excluded: Addresses of targets that already failed this request.
        """
        allowed_ms = self._targets.requested_ms(req)
        if not await self._run_time.wait_until_allowed(req, allowed_ms):
            return _RUN_TIME_NOT_CONFIRMED
        grant = await self._queues.acquire(req, excluded)
        if isinstance(grant, messages.RequestResult):
            return grant
        # Nothing is awaited between this check and the send, so a process
        # that was frozen detects that its lease has expired.
        if grant is not None and self._session.is_fresh():
            return await self._hedged_requests.send(grant, req)
        if grant is not None:
            grant.release()
        return messages.not_run(
            f"no slot for {req.service} before the deadline",
            "send it again, or allow a later deadline",
            messages.Sign.FULL,
        )
