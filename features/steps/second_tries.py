"""Steps about where first sends and second tries may go."""

import asyncio
import random

from behave import given
from behave import then
from behave import when

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.gateway import messages
from cardamomkeel.gateway import overload as overload_lib
from cardamomkeel.gateway import request_context
from cardamomkeel.gateway import sending
from cardamomkeel.gateway import target_selection
from cardamomkeel.gateway import targets as targets_lib
from cardamomkeel.policy import placement
from cardamomkeel.rollouts import entry as rollouts_lib
from cardamomkeel.routes import document
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

ROUTE = document.Route(
    host="desk.example",
    prefix="/",
    parts=(document.Part("a", 1.0),),
    idempotent=True,
    attempts=2,
    timeout_ms=2000.0,
    objective_ms=400.0,
)


class Choice:
    """Allows some data centres."""

    allowed = ("brest",)

    def list_allowed(self, _service):
        """Returns the data centres that requests may leave to."""
        return self.allowed


@given("an entry that follows a roll-out, whose near targets are full")
def make_entry(context):
    context.clock = clock.ManualClock()
    gossip = gossip_lib.Gossip("e", context.clock, lambda: None)
    context.targets = targets = targets_lib.Targets(
        "brest", "e", gossip, context.clock
    )
    rows = [
        control_pb2.InstanceRecord(
            address=f"10.0.0.{number}:80",
            instance=f"i-{number}",
            service="a",
            state="ready",
            data_centre=place,
            slots=2,
            software="v1",
        )
        for number, place in enumerate(["brest", "brest", "vannes", "vannes"])
    ]
    view = view_lib.View(instances={row.address: row for row in rows})
    targets.apply_changes(view, view.pop_changes())
    for target in targets.get("a"):
        target.reports_load = False
        target.running = target.slots if target.near else 0
    metrics, rng = metrics_lib.Metrics(), random.Random(1)
    rollouts = rollouts_lib.EntryRollouts(
        targets, lambda _within_ms: True, metrics, context.clock, rng
    )
    targets.rollouts = rollouts
    row = control_pb2.RolloutRecord(
        service="a",
        version="v2",
        order=1,
        step=1,
        stage=control_pb2.ROLLOUT_TRIAL,
        share_ppm=30_000,
    )
    rollouts.apply({"a": row})
    overload = overload_lib.Overload(targets, metrics, context.clock, rng)
    context.selector = target_selection.TargetSelector(
        targets, None, context.clock, rng, overload, rollouts
    )


@given("no data centre that requests may leave to")
def allow_none(context):
    context.targets.choice = Choice()


@when("a request that {tried} looks for any target")
def select(context, tried):
    req = messages.Request("GET", "/", [], b"", context.clock.now())
    deadline = context.clock.now() + 2000.0
    outgoing = sending.OutgoingRequest(req, b"id", ROUTE, deadline)
    ctx = request_context.RequestContext(outgoing, ROUTE, "a", 2000.0, 0.0)
    if tried == "one target failed":
        ctx.tried.append(context.targets.get("a")[0])
    context.found = asyncio.run(
        context.selector.try_select(ctx, placement.Demand.IN_TIME, True)
    )


@then("it finds {found}")
def check_found(context, found):
    place = None if context.found is None else context.found.data_centre
    assert place == {"none": None, "one far off": "vannes"}[found], place
