"""Sends a request a second time where its answer is late."""

import dataclasses

import anyio
import anyio.abc
import loguru

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.policy import budget
from cardamomkeel.policy import hedging
from cardamomkeel.routing import attempts as attempts_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import queueing
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import targets as targets_lib

logger = loguru.logger

_LOST = messages.not_run("the lease ran out", "send it to another entry")


@dataclasses.dataclass(eq=False)
class _Race:
    """The attempts at one request, of which the first answer counts.

    Attributes:
        running: How many attempts run.
        ended: How the request ended.
        done: Set once it has ended.
        scopes: Cancel the attempts.
        is_over: Whether no attempt is wanted any more.
    """

    running: int = 1
    ended: messages.Ended | None = None
    done: anyio.Event = dataclasses.field(default_factory=anyio.Event)
    scopes: list[anyio.CancelScope] = dataclasses.field(default_factory=list)
    is_over: bool = False
    _failed: messages.Ended | None = None

    def win(self, ended: messages.Ended) -> None:
        """Takes the answer of an attempt."""
        self.running -= 1
        if self.ended is None:
            self.ended = ended
            self.done.set()

    def lose(self, ended: messages.Ended | None) -> None:
        """Takes the failure of an attempt; None for a cancelled one."""
        self.running -= 1
        # What may have run counts more than what certainly did not.
        if self._failed is None or (
            ended is not None and ended.outcome is not messages.Outcome.NOT_RUN
        ):
            self._failed = ended
        if self.running == 0 and self.ended is None:
            self.ended = self._failed or _LOST
            self.done.set()


class Races:
    """Makes the attempts at a request, of which the first answer counts."""

    def __init__(
        self,
        session: session_lib.Session,
        targets: targets_lib.Targets,
        queues: queueing.Queues,
        attempts: attempts_lib.Attempts,
        clk: clock.Clock,
        metrics: metrics_lib.Metrics,
    ):
        self._session = session
        self._targets = targets
        self._queues = queues
        self._attempts = attempts
        self._clock = clk
        self._metrics = metrics
        self._hedges: dict[str, hedging.Hedging] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    def run_in(self, tasks: anyio.abc.TaskGroup) -> None:
        """Says where second attempts run; there are none before."""
        self._tasks = tasks

    def note_success(self, service: str, latency_ms: clock.Millis) -> None:
        """Takes the latency of an answer into account."""
        self._hedging(service).note(latency_ms)

    def _hedging(self, name: str) -> hedging.Hedging:
        service = self._session.view.get_service(name)
        share = 0.0 if service is None else service.hedge_share
        known = self._hedges.get(name)
        if known is None:
            known = hedging.Hedging(budget.ShareBudget(share))
            self._hedges[name] = known
        known.budget.share = share
        return known

    async def send(
        self, grant: targets_lib.Grant, req: messages.Request
    ) -> messages.Ended:
        """Sends a request, and once more where the answer is late."""
        hedges = self._hedging(req.service)
        delay_ms = hedges.delay_ms()
        may_hedge = req.idempotent and req.depth == 0
        if not may_hedge or delay_ms is None or self._tasks is None:
            return await self._attempts.send(grant, req)
        hedges.budget.earn()
        race = _Race()
        self._tasks.start_soon(self._run_in_race, race, grant, req)
        try:
            with anyio.move_on_after(clock.seconds(delay_ms)):
                await race.done.wait()
            second = None if race.ended else self._take_hedge(grant, req)
            if second is not None:
                race.running += 1
                self._tasks.start_soon(self._run_in_race, race, second, req)
            await race.done.wait()
        finally:
            race.is_over = True
            for scope in race.scopes:
                scope.cancel()
        return race.ended

    def _take_hedge(
        self, first: targets_lib.Grant, req: messages.Request
    ) -> targets_lib.Grant | None:
        """Takes a slot for a second attempt, if one is to spare."""
        if (
            self._queues.has_waiting(req.service)
            or not self._session.is_fresh()
        ):
            return None
        excluded = frozenset([first.owned.record.address])
        chosen = self._targets.choose(req.service, excluded)
        if chosen is None or self._targets.allowed_ms(req) <= 0:
            return None
        if not self._hedging(req.service).budget.take():
            return None
        self._metrics.count(
            "hedges",
            "Requests sent a second time for a late answer.",
            service=req.service,
        )
        return self._targets.take(chosen, self._targets.allowed_ms(req))

    async def _run_in_race(
        self, race: _Race, grant: targets_lib.Grant, req: messages.Request
    ) -> None:
        """Makes one attempt; a failure counts only if no other one runs."""
        if race.is_over or not self._session.is_fresh():
            grant.give_back()
            race.lose(_LOST)
            return
        ended = None
        with anyio.CancelScope() as scope:
            race.scopes.append(scope)
            try:
                ended = await self._attempts.send(grant, req)
            except Exception:
                logger.exception("an attempt failed")
                ended = messages.FAILED
        if ended is not None and ended.sign is messages.Sign.SUCCESS:
            race.win(ended)
        else:
            race.lose(ended)
