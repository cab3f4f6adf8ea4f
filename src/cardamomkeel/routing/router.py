"""Brings one request of a caller to its end."""

import random

import anyio
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.control import client as client_lib
from cardamomkeel.entries import forward
from cardamomkeel.policy import budget
from cardamomkeel.routing import claims as claims_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import owner as owner_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.wire import control_pb2

MAX_ATTEMPTS = 3
REPORT_TIMEOUT_MS = 2000.0

logger = loguru.logger


class Router:
    """Chooses where each attempt goes, and retries where that is safe."""

    def __init__(
        self,
        data_centre: str,
        session: session_lib.Session,
        owner: owner_lib.Owner,
        forwarder: forward.Forwarder,
        claims: claims_lib.Claims,
        control: client_lib.ControlClient,
        clk: clock.Clock,
        rng: random.Random,
        metrics: metrics_lib.Metrics,
        tasks: anyio.abc.TaskGroup,
    ):
        self._data_centre = data_centre
        self._session = session
        self._owner = owner
        self._forwarder = forwarder
        self._claims = claims
        self._control = control
        self._clock = clk
        self._rng = rng
        self._metrics = metrics
        self._tasks = tasks
        self._retries: dict[str, budget.ShareBudget] = {}

    async def handle(self, req: messages.Request) -> messages.Ended:
        """Brings a request to its end, whatever happens on the way."""
        refused = self._refuse(req)
        if refused is not None:
            return refused
        if req.idempotent:
            return await self._attempts(req, frozenset())
        return await self._claims.run_once(req, self._attempts)

    def _refuse(self, req: messages.Request) -> messages.Ended | None:
        if not self._session.is_fresh():
            return messages.not_run(
                "this entry can't confirm its settings",
                "send it to another entry",
            )
        if self._session.view.is_quarantined(req.fingerprint):
            return messages.not_run(
                "this request broke backend servers before",
                "change it, or have an operator `resolve` its quarantine",
            )
        return None

    async def _attempts(
        self, req: messages.Request, excluded: frozenset[str]
    ) -> messages.Ended:
        """Tries one place after another for as long as that is safe."""
        retries = self._retry_budget(req.service)
        retries.earn()
        ended = messages.not_run(
            f"no entry owns a target of {req.service}",
            "see with `cardamomkeel show` which backend servers are there",
        )
        for tried, place in enumerate(self._places(req.service)):
            if tried and not self._may_retry(req, ended, tried, retries):
                break
            ended = await self._attempt(req, place, excluded)
            if ended.outcome is messages.Outcome.ANSWERED:
                return ended
            if ended.sign is messages.Sign.BROKEN:
                self._tasks.start_soon(self._report_break, req, ended)
            if ended.target:
                excluded |= {ended.target}
        return ended

    def _may_retry(
        self,
        req: messages.Request,
        ended: messages.Ended,
        tried: int,
        retries: budget.ShareBudget,
    ) -> bool:
        if tried >= MAX_ATTEMPTS or req.depth > 0:
            return False
        if ended.outcome is messages.Outcome.UNKNOWN and not req.idempotent:
            return False
        if self._clock.now() >= req.deadline:
            return False
        return retries.take()

    def _retry_budget(self, name: str) -> budget.ShareBudget:
        if name not in self._retries:
            service = self._session.view.get_service(name)
            share = 0.0 if service is None else service.retry_share
            self._retries[name] = budget.ShareBudget(share)
        return self._retries[name]

    def _places(self, service: str) -> list[str]:
        """Returns the entries to try: this one (empty), then near ones."""
        view = self._session.view
        ranked = {}
        for target in view.get_targets_by_service(service):
            entry = view.entries.get(target.owner)
            if entry is None or view.is_out(target):
                continue
            far = entry.data_centre != self._data_centre
            if entry.session == self._session.id:
                ranked[""] = (0, 0.0)
            elif entry.entries_address not in ranked:
                rank = (2 if far else 1, self._rng.random())
                ranked[entry.entries_address] = rank
        places = sorted(ranked, key=lambda place: ranked[place])
        # Two targets of one owner can be tried one after the other.
        return (places * MAX_ATTEMPTS)[:MAX_ATTEMPTS]

    async def _attempt(
        self, req: messages.Request, place: str, excluded: frozenset[str]
    ) -> messages.Ended:
        if not place:
            return await self._owner.dispatch(req, excluded)
        self._metrics.count(
            "forwards", "Requests handed to another entry.", service=req.service
        )
        return await self._forwarder.forward(place, req, excluded)

    async def _report_break(
        self, req: messages.Request, ended: messages.Ended
    ) -> None:
        """Tells the control group of a request that broke a connection."""
        command = control_pb2.Command(
            report_break=control_pb2.ReportBreak(
                fingerprint=req.fingerprint,
                service=req.service,
                target=f"{ended.target}#{ended.instance}",
            )
        )
        done = await self._control.propose([command], REPORT_TIMEOUT_MS)
        if not isinstance(done, result.Success):
            logger.warning("a break is not counted", reason=str(done.failure()))
