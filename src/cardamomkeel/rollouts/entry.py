"""What an entry does for roll-outs: shares, counts, its own stop.

The rows of the control group say which part of a service's requests goes to the
new version. An entry counts the results of both versions, reports the counts
with its polls, and stops by itself where what it sees is bad beyond doubt. It
tells that to the other entries of its data centre, which stop as well.
"""

import collections.abc
import dataclasses
import random
import typing

import loguru

from cardamomkeel import clock
from cardamomkeel import metrics as metrics_lib
from cardamomkeel.gateway import target as target_lib
from cardamomkeel.policy import rollout_subset
from cardamomkeel.policy import rollout_verdict
from cardamomkeel.rollouts import counts as counts_lib
from cardamomkeel.routes import document as document_lib
from cardamomkeel.wire import control_pb2

# An entry has so few requests that it judges by itself only what is extreme;
# any of some hundred entries may be wrong.
STOP_CHANCE = 1e-9
# How long the counts of an entry belong to one stratum of time.
STRATUM_MS = 2000.0
# Without an answer of the control group for longer, an entry goes back to the
# earlier version. It asks twice a second.
OUT_OF_TOUCH_MS = 2000.0
# How long after its cold start the time of a target's answers tells nothing.
AFTER_COLD_MS = 1000.0
# Millionths in a whole.
PPM = 1_000_000

# Routes that are counted apart, to bound the reports.
MAX_ROUTES = 50
OTHER_ROUTES = "other routes"

# The stages in which the new version gets a part of the requests.
PARTIAL = (control_pb2.ROLLOUT_TRIAL, control_pb2.ROLLOUT_RAMP)
ENDED = (control_pb2.ROLLOUT_COMPLETED, control_pb2.ROLLOUT_ROLLED_BACK)

logger = loguru.logger


class Targets(typing.Protocol):
    """The targets of an entry."""

    def get(self, service: str) -> list[target_lib.Target]:
        """Returns the targets of a service."""
        ...

    def expect_ms(
        self, service: str, route: document_lib.Route
    ) -> clock.Millis:
        """Returns how long a request is expected to take."""
        ...


@dataclasses.dataclass
class _Rollout:
    """One roll-out as this entry knows it.

    Attributes:
        row: Its newest row.
        doubt: Why this entry has stopped; empty if it has not.
        subset: The addresses of the new targets in trial; None if they have
            to be picked again.
        routes: The counts, by route.
        usual_ms: The usual work time before the last steps, by route.
        evidence: The results of this entry's requests.
        seen: The counts that are in the evidence, by route.
        stratum_at: When the newest stratum of the evidence began.
    """

    row: control_pb2.RolloutRecord
    doubt: str = ""
    subset: frozenset[str] | None = None
    routes: dict[str, control_pb2.RolloutCounts] = dataclasses.field(
        default_factory=dict
    )
    usual_ms: dict[str, clock.Millis] = dataclasses.field(default_factory=dict)
    evidence: dict[str, rollout_verdict.Evidence] = dataclasses.field(
        default_factory=counts_lib.make_evidence
    )
    seen: dict[str, control_pb2.RolloutCounts] = dataclasses.field(
        default_factory=dict
    )
    stratum_at: clock.Millis = 0.0


class EntryRollouts:
    """The roll-outs that an entry follows.

    Attributes:
        on_stop: Called when this entry has stopped by itself, to tell it to
            the other entries and to the control group.
    """

    def __init__(
        self,
        targets: Targets,
        is_in_touch: collections.abc.Callable[[clock.Millis], bool],
        metrics: metrics_lib.Metrics,
        clk: clock.Clock,
        rng: random.Random,
    ):
        """Creates the roll-outs of an entry that knows of none yet.

        Args:
            targets: The targets of this entry.
            is_in_touch: Returns whether the control group has answered this
                entry within some time.
            metrics: Counts the results by version.
            clk: The clock.
            rng: Draws the version of each request.
        """
        self._targets = targets
        self._is_in_touch = is_in_touch
        self._metrics = metrics
        self._clock = clk
        self._rng = rng
        self._rollouts: dict[str, _Rollout] = {}
        self._process = rng.getrandbits(63)
        self.on_stop: collections.abc.Callable[[], None] = lambda: None

    def apply(
        self, rows: collections.abc.Mapping[str, control_pb2.RolloutRecord]
    ) -> None:
        """Follows the newest rows; rows that are older are ignored."""
        for service, row in rows.items():
            known = self._rollouts.get(service)
            if known is None or known.row.order < row.order:
                self._rollouts[service] = _Rollout(row)
            elif (known.row.order, known.row.step) < (row.order, row.step):
                self._begin_step(known, row)
            # Targets may have come or gone as well.
            self._rollouts[service].subset = None

    def _begin_step(
        self, rollout: _Rollout, row: control_pb2.RolloutRecord
    ) -> None:
        """Follows a new step, with strata of its own for its share."""
        self._collect(rollout)
        rollout.row = row
        rollout.stratum_at = self._clock.now()
        for evidence in rollout.evidence.values():
            evidence.begin_step()

    # The choice of a version.

    def draw(self, service: str) -> bool:
        """Returns whether a request is to go to the new version first."""
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.row.stage not in PARTIAL:
            return False
        return self._rng.random() * PPM < rollout.row.share_ppm

    def has_rules(self, service: str) -> bool:
        """Returns whether versions matter for a service."""
        rollout = self._rollouts.get(service)
        return rollout is not None and (
            rollout.row.stage != control_pb2.ROLLOUT_COMPLETED
            or bool(rollout.row.barred)
        )

    def allows(self, target: target_lib.Target, wants_new: bool) -> bool:
        """Returns whether a request may be sent to a target.

        Args:
            target: The target.
            wants_new: Whether the request was drawn for the new version.
        """
        if not self.has_rules(target.service):
            return True
        rollout = self._rollouts[target.service]
        if target.software in rollout.row.barred:
            return False
        if rollout.row.stage == control_pb2.ROLLOUT_COMPLETED:
            return True
        is_new = target.software == rollout.row.version
        if not self._sends_new(rollout):
            return not is_new
        if rollout.row.stage not in PARTIAL:
            return is_new
        if not wants_new:
            return not is_new
        return is_new and target.address in self._get_subset(rollout)

    def may_send(self, target: target_lib.Target) -> bool:
        """Returns whether a target may still get a request drawn for it."""
        rollout = self._rollouts.get(target.service)
        if rollout is None:
            return True
        wants_new = target.software == rollout.row.version
        return self.allows(target, wants_new)

    def _sends_new(self, rollout: _Rollout) -> bool:
        """Returns whether the new version may get anything from this entry."""
        stage = rollout.row.stage
        if stage == control_pb2.ROLLOUT_FINAL:
            return True
        return (
            stage != control_pb2.ROLLOUT_ROLLED_BACK
            and not rollout.doubt
            and self._is_in_touch(OUT_OF_TOUCH_MS)
        )

    def _get_subset(self, rollout: _Rollout) -> frozenset[str]:
        if rollout.subset is None:
            row = rollout.row
            rollout.subset = rollout_subset.pick(
                (
                    (target.address, target.data_centre)
                    for target in self._targets.get(row.service)
                    if target.software == row.version and not target.is_out
                ),
                row.share_ppm / PPM,
                row.order,
            )
        return rollout.subset

    # Counts.

    def watch(
        self, target: target_lib.Target, route: document_lib.Route
    ) -> counts_lib.Watch | None:
        """Begins to count a request that is sent; None without a roll-out."""
        service = target.service
        rollout = self._rollouts.get(service)
        if rollout is None or rollout.row.stage in ENDED:
            return None
        now = self._clock.now()
        is_new = target.software == rollout.row.version
        name = f"{route.host}{route.prefix}"
        if name not in rollout.routes and len(rollout.routes) >= MAX_ROUTES:
            name = OTHER_ROUTES
        row = rollout.routes.get(name)
        if row is None:
            row = control_pb2.RolloutCounts(route=name)
            rollout.routes[name] = row
        usual_ms = self._get_usual_ms(rollout, name, route)
        if now < max(target.cold_until, target.suspected_until) + AFTER_COLD_MS:
            usual_ms = None
        version = rollout.row.version if is_new else target.software

        def on_result(what: str) -> None:
            self._metrics.count(
                "rollout_requests",
                "Requests during a roll-out, by version and result.",
                service=service,
                version=version,
                result=what,
            )
            if is_new and what != "ok":
                self._check(rollout)

        return counts_lib.Watch(row, is_new, usual_ms, on_result, self._clock)

    def _get_usual_ms(
        self, rollout: _Rollout, name: str, route: document_lib.Route
    ) -> clock.Millis:
        """Returns the work time of a route, from before the last steps."""
        is_trial = rollout.row.stage == control_pb2.ROLLOUT_TRIAL
        if is_trial or name not in rollout.usual_ms:
            rollout.usual_ms[name] = self._targets.expect_ms(
                rollout.row.service, route
            )
        return rollout.usual_ms[name]

    def _check(self, rollout: _Rollout) -> None:
        """Stops if what this entry sees is bad beyond doubt.

        Only while both versions get requests: otherwise a link that breaks
        looks like a bad version.
        """
        row = rollout.row
        if rollout.doubt or row.stage not in PARTIAL:
            return
        self._collect(rollout)
        now = self._clock.now()
        is_trial = row.stage == control_pb2.ROLLOUT_TRIAL
        if is_trial and now - rollout.stratum_at > STRATUM_MS:
            rollout.stratum_at = now
            for evidence in rollout.evidence.values():
                evidence.begin_stratum()
        verdict, finding = rollout_verdict.judge(
            (e.find() for e in rollout.evidence.values()), False, STOP_CHANCE
        )
        if verdict is rollout_verdict.Verdict.BAD:
            self._stop(rollout, str(finding))

    def _collect(self, rollout: _Rollout) -> None:
        """Adds the newest counts to the evidence if both versions got some."""
        for name, newer in rollout.routes.items():
            older = rollout.seen.get(name, control_pb2.RolloutCounts())
            if rollout.row.stage in PARTIAL:
                counts_lib.add_difference(rollout.evidence, newer, older)
            copied = control_pb2.RolloutCounts()
            copied.CopyFrom(newer)
            rollout.seen[name] = copied

    # Stops.

    def _stop(self, rollout: _Rollout, doubt: str) -> None:
        rollout.doubt = doubt
        logger.warning(
            "stopped sending to new version",
            service=rollout.row.service,
            version=rollout.row.version,
            order=rollout.row.order,
            reason=doubt,
        )
        self.on_stop()

    def list_stops(self) -> dict[str, int]:
        """Returns the order of each running roll-out that has a doubt."""
        return {
            service: rollout.row.order
            for service, rollout in self._rollouts.items()
            if rollout.doubt and rollout.row.stage not in ENDED
        }

    def record_stops(self, stops: dict[str, int]) -> None:
        """Stops where another entry of this data centre has stopped."""
        for service, order in stops.items():
            rollout = self._rollouts.get(service)
            if (
                rollout is not None
                and rollout.row.order == order
                and rollout.row.stage not in ENDED
                and not rollout.doubt
            ):
                self._stop(rollout, "another entry has stopped")

    # Reports.

    def add_reports(self, poll: control_pb2.PollRequest) -> None:
        """Adds what this entry has seen of each running roll-out to a poll."""
        for service, rollout in self._rollouts.items():
            row = rollout.row
            if row.stage in ENDED:
                continue
            running = sum(
                target.running
                for target in self._targets.get(service)
                if target.software != row.version
            )
            poll.rollouts.add(
                service=service,
                order=row.order,
                step=row.step,
                old_running=running,
                doubt=rollout.doubt,
                process=self._process,
                routes=rollout.routes.values(),
            )

    def dump(self) -> dict[str, typing.Any]:
        """Returns the state of each roll-out for operators."""
        return {
            service: {
                "version": rollout.row.version,
                "order": rollout.row.order,
                "step": rollout.row.step,
                "stage": control_pb2.RolloutStage.Name(rollout.row.stage),
                "share_ppm": rollout.row.share_ppm,
                "doubt": rollout.doubt,
            }
            for service, rollout in self._rollouts.items()
        }
