"""Judges from counts whether a new version of a service is worse.

Trouble of the network, of machines or of callers hits both versions, and work
varies. So only answers of the same time and route are compared: within each
such stratum, bad answers would fall on the new version in the proportion of its
requests if both versions were equally good. The chance that at least as many
fall on it is bounded with Chernoff's inequality over all strata; no rate has to
be known, and few requests give a weak but never a wrong bound.

Answers the load of a version that fails a part of its requests or is several
times slower: at once, later, under load or on one route only.
"""

import collections.abc
import dataclasses
import enum
import math

# Slow answers come in groups, since a neighbour slows a machine for a moment:
# that many of a group count as one.
SLOW_GROUP = 1.5
# The verdict is asked for some ten times a second, of each route and of all.
BAD_CHANCE = 1e-5
# Asked once, before a step forward.
GATE_CHANCE = 1.5e-2
# Above it nothing speaks against a step forward.
DOUBT_CHANCE = 6e-2
# Fewer bad answers don't condemn a version, whatever the others do.
MIN_BAD = 3
_MAX_TILT = 60.0
_BISECTIONS = 50


class Verdict(enum.IntEnum):
    """What the counts say of a version, from good to bad."""

    GOOD = 0
    # Not good enough for a step forward while there is time to see more.
    UNDECIDED = 1
    # Too bad for a step forward.
    DOUBTFUL = 2
    BAD = 3


@dataclasses.dataclass(slots=True)
class Counts:
    """Results of requests, by version.

    Attributes:
        old: Requests to the earlier version that ended.
        old_bad: Those of them that ended badly.
        new: Requests to the new version that ended.
        new_bad: Those of them that ended badly.
    """

    old: int = 0
    old_bad: int = 0
    new: int = 0
    new_bad: int = 0

    def add(self, other: "Counts") -> None:
        """Adds other counts to these."""
        self.old += other.old
        self.old_bad += other.old_bad
        self.new += other.new
        self.new_bad += other.new_bad


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """The strongest evidence against a version.

    Attributes:
        chance: Bound of the chance that a good version looks as bad.
        what: The kind of badness, for people.
        counts: The counts that it was seen in.
    """

    chance: float = 1.0
    what: str = "nothing bad"
    counts: Counts = dataclasses.field(default_factory=Counts)

    def __str__(self) -> str:
        c = self.counts
        return (
            f"{self.what}: {c.new_bad} of {c.new} against {c.old_bad} of "
            f"{c.old}, chance below {self.chance:.1e}"
        )


def bound_chance(strata: collections.abc.Iterable[Counts]) -> float:
    """Returns a bound of the chance that equal versions differ as much."""
    parts = [
        (s.old_bad + s.new_bad, s.new / (s.new + s.old))
        for s in strata
        if s.old and s.new and s.old_bad + s.new_bad
    ]
    observed = sum(s.new_bad for s in strata if s.old and s.new)
    expected = sum(bad * share for bad, share in parts)
    if observed <= expected or not observed:
        return 1.0

    def tilted_mean(tilt: float) -> float:
        raised = math.exp(tilt)
        return sum(
            bad * share * raised / (1 - share + share * raised)
            for bad, share in parts
        )

    low, high = 0.0, _MAX_TILT
    for _ in range(_BISECTIONS):
        middle = (low + high) / 2
        if tilted_mean(middle) < observed:
            low = middle
        else:
            high = middle
    raised = math.exp(low)
    exponent = -low * observed + sum(
        bad * math.log(1 - share + share * raised) for bad, share in parts
    )
    return min(1.0, math.exp(exponent))


def _total(strata: collections.abc.Iterable[Counts]) -> Counts:
    total = Counts()
    for counts in strata:
        total.add(counts)
    return total


class Evidence:
    """Counts of one kind of badness by route and stratum of time."""

    def __init__(self, what: str, group: float = 1.0):
        """Creates evidence without counts.

        Args:
            what: The kind of badness.
            group: How many bad answers may have one cause.
        """
        self._what = what
        self._group = group
        self._strata: dict[str, list[Counts]] = {}

    def add(self, route: str, counts: Counts) -> None:
        """Adds counts to the newest stratum of a route."""
        self._strata.setdefault(route, [Counts()])[-1].add(counts)

    def begin_stratum(self) -> None:
        """Begins a new stratum of time for all routes.

        A stratum that holds no answers of one of the versions goes on.
        """
        for strata in self._strata.values():
            if strata[-1].old and strata[-1].new:
                strata.append(Counts())

    def begin_step(self) -> None:
        """Begins a new stratum for all routes, since the share changes."""
        for strata in self._strata.values():
            strata.append(Counts())

    def find(self) -> Finding:
        """Returns the strongest finding, of one route or of all of them."""
        found = Finding()
        every = [s for strata in self._strata.values() for s in strata]
        routes = {f" on {name}": s for name, s in self._strata.items()}
        tests = {"": every} | (routes if len(routes) > 1 else {})
        for where, strata in tests.items():
            total = _total(strata)
            if total.new_bad < MIN_BAD * self._group:
                continue
            chance = bound_chance(strata) ** (1 / self._group) * len(tests)
            if chance < found.chance:
                found = Finding(chance, self._what + where, total)
        return found


def judge(
    findings: collections.abc.Iterable[Finding],
    is_gate: bool,
    bad_chance: float = BAD_CHANCE,
) -> tuple[Verdict, Finding]:
    """Returns the verdict and the finding that decided it.

    Args:
        findings: The strongest finding of each kind of badness.
        is_gate: Whether it is asked before a step forward.
        bad_chance: Below this chance a version is bad.
    """
    worst = min(findings, key=lambda f: f.chance, default=Finding())
    if worst.chance < bad_chance:
        return Verdict.BAD, worst
    if is_gate and worst.chance < GATE_CHANCE:
        return Verdict.DOUBTFUL, worst
    if worst.chance < DOUBT_CHANCE:
        return Verdict.UNDECIDED, worst
    return Verdict.GOOD, worst
