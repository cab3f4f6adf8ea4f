"""Explains an entry's decisions about requests and targets to operators."""

import dataclasses
import typing

from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.operators import app as app_lib
from cardamomkeel.operators import bodies
from cardamomkeel.policy import out_of_service
from cardamomkeel.routing import decisions as decisions_lib
from cardamomkeel.routing import owner as owner_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import targets as targets_lib
from cardamomkeel.settings import process


class ExplainRequest(process.Strict):
    """The request or the target to explain."""

    request_id: str = ""
    target: str = ""


@dataclasses.dataclass(frozen=True)
class _Facts:
    """What an entry knows about a target.

    Attributes:
        session: The entry's session with the control group.
        target: The row of the target.
        owned: The state that the owner keeps; None in other entries.
        now: The time of the entry's clock.
    """

    session: session_lib.Session
    target: typing.Any
    owned: targets_lib.OwnedTarget | None
    now: clock.Millis

    @property
    def slots(self) -> typing.Any:
        """The slots of an owned target."""
        return self.owned.candidate.slots

    def is_taken_out(self) -> bool:
        """Returns whether an operator took the target out of service."""
        announced_out = self.target.state in out_of_service.STATES_WITHOUT_WORK
        return (
            self.session.view.refuses_new_work(self.target)
            and not announced_out
        )


# Reasons why a target may get little work, each with its condition.
REASONS: dict[str, typing.Callable[[_Facts], bool]] = {
    "this entry can't confirm its settings, so it gives no work": (
        lambda facts: not facts.session.is_fresh()
    ),
    "its service is not in the settings text": (
        lambda facts: (
            facts.session.view.get_service(facts.target.service) is None
        )
    ),
    "it, or its data centre, is taken out of service": (
        lambda facts: facts.is_taken_out()
    ),
    "it announced that it drains or leaves": (
        lambda facts: facts.target.state in out_of_service.STATES_WITHOUT_WORK
    ),
    "it announced that it is cold": (
        lambda facts: facts.target.state == "cold"
    ),
    "no entry owns it yet": lambda facts: facts.target.owner == 0,
    "another entry owns it; ask that one": (
        lambda facts: facts.owned is None and facts.target.owner != 0
    ),
    "it is being handed over to another entry": (
        lambda facts: facts.owned is not None and facts.owned.is_handing_over
    ),
    "it is in cold start: its limit grows with each success": (
        lambda facts: (
            facts.owned is not None and facts.slots.limit < facts.slots.slots
        )
    ),
    "work of its owner before may still run on it": (
        lambda facts: (
            facts.owned is not None
            and facts.slots.inherited_slots(facts.now) > 0
        )
    ),
    "all its slots are taken": (
        lambda facts: (
            facts.owned is not None and facts.slots.free(facts.now) == 0
        )
    ),
    "some of its last requests failed": (
        lambda facts: (
            facts.owned is not None
            and facts.owned.candidate.health.failures > 0.01
        )
    ),
}


@dataclasses.dataclass
class ExplainHandlers:
    """Explains requests and targets of one entry."""

    session: session_lib.Session
    owner: owner_lib.Owner
    recent_results: decisions_lib.RecentResults
    clk: clock.Clock

    def handlers(self) -> dict[str, app_lib.Handler]:
        """Returns the calls by path."""
        return {"/v1/explain": self.explain}

    async def explain(self, body: app_lib.Body) -> result.Result:
        """Explains a request or a target."""
        validated = bodies.validate(ExplainRequest, body)
        if not isinstance(validated, result.Success):
            return validated
        if validated.unwrap().target:
            return self._explain_target(validated.unwrap().target)
        return self._explain_request(validated.unwrap().request_id)

    def _explain_request(self, request_id: str) -> result.Result:
        found = self.recent_results.find(request_id)
        if not found:
            return result.Failure(
                errors.RequestError(
                    f"this entry remembers no request {request_id!r}",
                    "ask the entry that answered it, soon after; each one "
                    f"remembers {decisions_lib.MAX_RESULTS}",
                    404,
                )
            )
        return result.Success(
            {"requests": [dataclasses.asdict(decision) for decision in found]}
        )

    def _explain_target(self, address: str) -> result.Result:
        view = self.session.view
        target = view.targets.get(address)
        if target is None:
            return result.Failure(
                errors.RequestError(
                    f"no backend server announces {address!r}",
                    "see `cardamomkeel targets`; look whether it can reach "
                    "an entry",
                    404,
                )
            )
        owned = self.owner.owned.get(address)
        facts = _Facts(self.session, target, owned, self.clk.now())
        owner = view.entries.get(target.owner)
        answer = {
            "target": address,
            "service": target.service,
            "state": target.state,
            "owner": "" if owner is None else owner.name,
            "reasons": [
                reason for reason, holds in REASONS.items() if holds(facts)
            ],
        }
        if owned is not None:
            answer["limit"] = facts.slots.limit
            answer["slots"] = facts.slots.slots
            answer["in_flight"] = facts.slots.in_flight
            answer["fell_for"] = owned.cold_start_reason.value
            answer["fell_ms_ago"] = int(facts.now - owned.cold_start_at)
        return result.Success(answer)
