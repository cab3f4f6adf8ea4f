"""Routes requests of callers, with retries."""

import dataclasses
import random

import anyio
import loguru

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.control import client as client_lib
from cardamomkeel.entries import forward
from cardamomkeel.policy import budget
from cardamomkeel.routing import claims as claims_lib
from cardamomkeel.routing import entry_ranking as entry_ranking_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import owner as owner_lib
from cardamomkeel.routing import quarantine as quarantine_lib
from cardamomkeel.routing import session as session_lib

# Attempts at one request; further ones would likely fail for the same reason.
MAX_ATTEMPTS = 3

logger = loguru.logger

_NOT_ATTEMPTED = messages.not_run("it was not tried", "send it again")


@dataclasses.dataclass
class _Progress:
    """The attempts at one request so far.

    Attributes:
        excluded: Addresses of targets that already failed the request.
        req_result: The result of the newest attempt; None before the first.
        may_have_run: The newest result with outcome UNKNOWN, or None.
        tried_entries: The entries that were tried, one for each attempt.
    """

    excluded: frozenset[str]
    req_result: messages.RequestResult | None = None
    may_have_run: messages.RequestResult | None = None
    tried_entries: list[str] = dataclasses.field(default_factory=list)

    def add(self, entry: str, req_result: messages.RequestResult) -> None:
        """Records the result of an attempt."""
        self.tried_entries.append(entry)
        self.req_result = req_result
        if req_result.outcome is messages.Outcome.UNKNOWN:
            self.may_have_run = req_result
        if req_result.target:
            self.excluded |= {req_result.target}

    def broke_connection(self) -> bool:
        """Returns whether the newest attempt broke a connection."""
        return (
            self.req_result is not None
            and self.req_result.sign is messages.Sign.BROKEN
        )


class Router:
    """Sends requests to entries and retries them if that is safe."""

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
        self._session = session
        self._owner = owner
        self._forwarder = forwarder
        self._claims = claims
        self._clock = clk
        self._metrics = metrics
        self._entry_ranker = entry_ranking_lib.EntryRanker(
            data_centre, session, clk, rng
        )
        self._quarantine = quarantine_lib.Quarantine(
            session, control, clk, tasks
        )
        self._retry_budgets: dict[str, budget.ShareBudget] = {}

    async def handle(self, req: messages.Request) -> messages.RequestResult:
        """Returns the result of a request, also after an internal error."""
        try:
            return await self._handle(req)
        except Exception:
            logger.exception("request failed", service=req.service)
            return messages.INTERNAL_FAILURE

    async def _handle(self, req: messages.Request) -> messages.RequestResult:
        if not self._session.is_fresh():
            return messages.lease_expired(bool(req.key) and not req.is_first)
        if req.idempotent:
            return await self._attempt_until_done(req, frozenset())
        return await self._claims.run_once(req, self._attempt_until_done)

    async def _attempt_until_done(
        self, req: messages.Request, excluded: frozenset[str]
    ) -> messages.RequestResult:
        """Makes attempts until one is answered or a retry is not allowed."""
        self._get_retry_budget(req.service).record_request()
        progress = _Progress(excluded)
        while True:
            req_result = await self._attempt(req, progress)
            if req_result.outcome is messages.Outcome.ANSWERED:
                return req_result
            if not self._may_retry(req, progress):
                # An earlier attempt may have run, even if the newest did not.
                return progress.may_have_run or req_result

    def _may_retry(self, req: messages.Request, progress: _Progress) -> bool:
        if len(progress.tried_entries) >= MAX_ATTEMPTS or req.depth > 0:
            return False
        if not progress.tried_entries or progress.req_result.final:
            return False
        if progress.may_have_run is not None and not req.idempotent:
            return False
        if self._clock.now() >= req.deadline:
            return False
        return self._get_retry_budget(req.service).try_acquire()

    def _get_retry_budget(self, name: str) -> budget.ShareBudget:
        service = self._session.view.get_service(name)
        share = 0.0 if service is None else service.retry_share
        if name not in self._retry_budgets:
            self._retry_budgets[name] = budget.ShareBudget(share)
        self._retry_budgets[name].share = share
        return self._retry_budgets[name]

    async def _attempt(
        self, req: messages.Request, progress: _Progress
    ) -> messages.RequestResult:
        """Makes one attempt, unless the request is quarantined."""
        admission = await self._quarantine.admit(
            req, progress.broke_connection()
        )
        if admission.rejection is not None:
            progress.req_result = dataclasses.replace(
                admission.rejection, final=True
            )
            return progress.req_result
        excluded = progress.excluded | admission.avoided_targets
        if progress.tried_entries:
            req = dataclasses.replace(req, is_retry=True)
        entries = self._entry_ranker.rank(
            req.service, excluded, progress.tried_entries
        )
        req_result = _NOT_ATTEMPTED
        try:
            if entries:
                req_result = await self._try_entry(req, entries[0], excluded)
                self._entry_ranker.record_result(
                    req.service, entries[0], req_result
                )
                progress.add(entries[0], req_result)
            else:
                progress.req_result = req_result = _make_no_entry_result(
                    req.service
                )
        finally:
            await self._quarantine.record_result(req, admission, req_result)
        return req_result

    async def _try_entry(
        self, req: messages.Request, entry: str, excluded: frozenset[str]
    ) -> messages.RequestResult:
        # A claim is valid only as long as the session that made it.
        if req.session and (
            req.session != self._session.id or not self._session.is_fresh()
        ):
            return messages.lease_expired(may_have_run=False)
        if entry == entry_ranking_lib.THIS_ENTRY:
            return await self._owner.dispatch(req, excluded)
        self._metrics.count(
            "forwards", "Requests handed to another entry.", service=req.service
        )
        return await self._forwarder.forward(entry, req, excluded)


def _make_no_entry_result(service: str) -> messages.RequestResult:
    req_result = messages.not_run(
        f"no entry owns another target of {service}",
        "see with `cardamomkeel show` which backend servers are there",
    )
    return dataclasses.replace(req_result, final=True)
