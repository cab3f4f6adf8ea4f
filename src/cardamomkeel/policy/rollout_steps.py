"""Decides the next step of a roll-out.

A bad version may get only a small part of a service's requests, and may turn
bad late or under load. So a roll-out spends most of its time in a trial, with a
part of the requests that uses up half of what a bad version may get, on so few
of the new servers that each has the load that it will have in the end. Two
short steps to all requests follow. They are left only forward to the end or by
a roll-back, and only while every entry answers.

Answers services of 1 to 400 requests a second that are to be moved within some
seconds to minutes.
"""

import dataclasses
import enum

from cardamomkeel import clock
from cardamomkeel.policy import rollout_verdict

Verdict = rollout_verdict.Verdict

# Shares of the duration of a roll-out. The rest is for requests that the
# earlier version still runs, and for the operator, who has to see the result.
TRIAL_SHARE = 0.55
# An undecided version stays in trial up to this share.
LONG_TRIAL_SHARE = 0.62
RAMP_SHARE = 0.06
ALL_SHARE = 0.07
# Bounds of the time of the last steps: long enough to hear of bad answers.
MIN_RAMP_MS, MAX_RAMP_MS = 700.0, 10_000.0
MIN_ALL_MS, MAX_ALL_MS = 900.0, 15_000.0
# A completed roll-out is told this long before the deadline if entries that
# were lost have not come back to confirm it.
LAST_CHANCE_SHARE = 0.08

# Shares of what a bad version may get, used up by the end of a step.
TRIAL_BUDGET, RAMP_BUDGET = 0.58, 0.78
MIN_TRIAL_SHARE, MAX_TRIAL_SHARE = 0.01, 0.5
# While all new servers are cold, their work time tells nothing: they get only
# this part of the share, and more once they are warm.
COLD_FACTOR = 0.35
RAMP_SHARE_OF_REQUESTS = 0.5
# Trouble that begins while all requests go to the new version can't be told
# from a bad version. Once, the versions are compared again at this share.
RETURN_SHARE = 0.25
# The share is changed once it is off by more than this factor, so that entries
# are not told of each small change of the load.
SHARE_CHANGE_FACTOR = 1.25
SHARE_CHANGE_MS = 1000.0
# The new servers have room for all if they are busy to at most this share.
MAX_BUSY_SHARE = 0.8


class Stage(enum.IntEnum):
    """The stages of a roll-out; the numbers are those of the log."""

    TRIAL = 1
    RAMP = 2
    ALL = 3
    FINAL = 4
    COMPLETED = 5
    ROLLED_BACK = 6


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """What a bad version may get.

    Attributes:
        share: The part of the requests between order and deadline.
        slack: Requests on top of that part.
    """

    share: float = 0.1
    slack: float = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Progress:
    """The state of a roll-out.

    Attributes:
        stage: Its stage.
        share: The part of the requests that the new version gets.
        elapsed_ms: The time since the order.
        in_step_ms: The time since the last step.
        duration_ms: The time from the order to the deadline.
        requests: Requests of the service since the order.
        requests_per_s: Its rate of requests at present, or since the order.
        new_sent: Requests that were sent to the new version.
        new_slots: Slots of the new servers that are ready and warm, or just
            ready if there are no earlier ones.
        old_slots: Slots of the earlier servers that are ready.
        work_ms: Mean work time of the new version; 0 if unknown.
        all_confirmed: Whether every entry follows the newest step.
        old_running: Requests that the earlier version still runs.
        entries_lost: Whether an entry was lost and has not come back.
        verdict: What the counts say of the new version, from the time in
            which both versions answered.
        gate_verdict: The same, asked before a step forward.
        late_verdict: The same of the last steps, when the earlier version has
            answered little or nothing.
        has_returned: Whether it was in the stage of all requests before.
        finding: What decided it, for people.
    """

    stage: Stage
    share: float
    elapsed_ms: clock.Millis
    in_step_ms: clock.Millis
    duration_ms: clock.Millis
    requests: int = 0
    requests_per_s: float = 0.0
    new_sent: int = 0
    new_slots: int = 0
    old_slots: int = 0
    work_ms: clock.Millis = 0.0
    all_confirmed: bool = True
    old_running: int = 0
    entries_lost: bool = False
    verdict: Verdict = Verdict.GOOD
    gate_verdict: Verdict = Verdict.GOOD
    late_verdict: Verdict = Verdict.GOOD
    has_returned: bool = False
    finding: str = ""

    @property
    def spent_share(self) -> float:
        """The part of its duration that has passed."""
        return self.elapsed_ms / self.duration_ms

    def budget(self, limits: Limits) -> float:
        """Returns how many requests a bad version may get in all."""
        left_s = clock.seconds(max(0.0, self.duration_ms - self.elapsed_ms))
        expected = self.requests + self.requests_per_s * left_s
        return limits.share * expected + limits.slack


@dataclasses.dataclass(frozen=True, slots=True)
class Move:
    """The next step.

    Attributes:
        stage: Its stage.
        share: The part of the requests that the new version gets.
        reason: Why, for people.
    """

    stage: Stage
    share: float
    reason: str


def plan(p: Progress, limits: Limits) -> Move | None:
    """Returns the next step, or None to go on as it is."""
    if p.verdict is Verdict.BAD and p.stage is not Stage.FINAL:
        return Move(Stage.ROLLED_BACK, 0.0, p.finding)
    if p.stage is Stage.FINAL:
        return _plan_end(p)
    if p.elapsed_ms >= p.duration_ms:
        return Move(Stage.ROLLED_BACK, 0.0, _name_obstacle(p))
    if p.stage is not Stage.ALL and _must_hurry(p):
        return Move(Stage.ALL, 1.0, "no earlier server is ready any more")
    if p.stage is Stage.TRIAL:
        return _plan_trial(p, limits)
    if p.stage is Stage.RAMP:
        length = _clamp(p.duration_ms * RAMP_SHARE, MIN_RAMP_MS, MAX_RAMP_MS)
        if p.has_returned and p.gate_verdict > Verdict.GOOD:
            return Move(Stage.ROLLED_BACK, 0.0, p.finding)
        return _step_forward(p, length, Stage.ALL, 1.0)
    if p.late_verdict >= Verdict.DOUBTFUL:
        if p.has_returned:
            return Move(Stage.ROLLED_BACK, 0.0, p.finding)
        reason = f"compared again: {p.finding}"
        return Move(Stage.RAMP, RETURN_SHARE, reason)
    length = _clamp(p.duration_ms * ALL_SHARE, MIN_ALL_MS, MAX_ALL_MS)
    return _step_forward(p, length, Stage.FINAL, 1.0)


def _must_hurry(p: Progress) -> bool:
    """Returns whether only the new version can answer, and may."""
    return (
        p.new_slots > 0
        and not p.old_slots
        and p.all_confirmed
        and p.gate_verdict < Verdict.DOUBTFUL
    )


def _plan_trial(p: Progress, limits: Limits) -> Move | None:
    if p.spent_share >= TRIAL_SHARE:
        if p.verdict is Verdict.UNDECIDED and p.spent_share < LONG_TRIAL_SHARE:
            return None
        share = ramp_share(p, limits)
        return _step_forward(p, 0.0, Stage.RAMP, share)
    if p.in_step_ms < SHARE_CHANGE_MS or not p.requests_per_s:
        return None
    share = trial_share(p, limits)
    change = max(share, p.share) / max(min(share, p.share), 1e-9)
    if change < SHARE_CHANGE_FACTOR or not p.all_confirmed:
        return None
    return Move(Stage.TRIAL, share, "the share is fitted to the load")


def trial_share(p: Progress, limits: Limits) -> float:
    """Returns the part of the requests that uses up the trial's budget."""
    left_s = clock.seconds(p.duration_ms * TRIAL_SHARE - p.elapsed_ms)
    left = TRIAL_BUDGET * p.budget(limits) - p.new_sent
    share = left / max(p.requests_per_s * left_s, 1e-9)
    if not p.new_slots:
        share *= COLD_FACTOR
    return _clamp(share, MIN_TRIAL_SHARE, MAX_TRIAL_SHARE)


def ramp_share(p: Progress, limits: Limits) -> float:
    """Returns the part of the requests of the step before all of them."""
    length = _clamp(p.duration_ms * RAMP_SHARE, MIN_RAMP_MS, MAX_RAMP_MS)
    left = RAMP_BUDGET * p.budget(limits) - p.new_sent
    share = left / max(p.requests_per_s * clock.seconds(length), 1e-9)
    return _clamp(share, MIN_TRIAL_SHARE, RAMP_SHARE_OF_REQUESTS)


def _step_forward(
    p: Progress, length_ms: clock.Millis, stage: Stage, share: float
) -> Move | None:
    """Returns a step forward if nothing speaks against it."""
    if p.in_step_ms < length_ms or not p.all_confirmed:
        return None
    if p.gate_verdict >= Verdict.DOUBTFUL:
        return Move(Stage.ROLLED_BACK, 0.0, p.finding)
    if not p.new_slots or (stage is Stage.ALL and not has_room(p)):
        return None
    return Move(stage, share, p.finding)


def has_room(p: Progress) -> bool:
    """Returns whether the new servers have room for all requests."""
    if p.new_slots >= p.old_slots:
        return True
    if not p.work_ms or not p.requests_per_s:
        return 2 * p.new_slots >= p.old_slots
    busy = p.requests_per_s * clock.seconds(p.work_ms)
    return busy <= MAX_BUSY_SHARE * p.new_slots


def _plan_end(p: Progress) -> Move | None:
    """Returns the end once nothing runs at the earlier version."""
    if not p.all_confirmed or p.old_running:
        return None
    if p.entries_lost and p.spent_share < 1 - LAST_CHANCE_SHARE:
        return None
    return Move(
        Stage.COMPLETED, 1.0, "every entry sends to the new version only"
    )


def _name_obstacle(p: Progress) -> str:
    if not p.new_slots:
        return "its time is over: no server of the version is ready"
    if not p.all_confirmed:
        return "its time is over: an entry did not answer"
    if p.stage is Stage.RAMP and not has_room(p):
        return "its time is over: the servers of the version have no room"
    return f"its time is over: {p.finding}"


def _clamp(value: float, low: float, high: float) -> float:
    return max(low, min(high, value))
