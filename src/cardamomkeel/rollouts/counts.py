"""Counts the results of requests by route and version."""

import asyncio
import collections.abc

from cardamomkeel import clock
from cardamomkeel.policy import rollout_verdict
from cardamomkeel.wire import control_pb2

# An answer is slow, or very slow, from these multiples of the usual work time
# of its route on. Most work stays below the first, several times slower work
# does not; the second tells it from work on machines that neighbours slow down.
SLOW_FACTOR = 2.5
VERY_SLOW_FACTOR = 6.5
# Names of the kinds of badness.
FAILED, SLOW, VERY_SLOW = "failed", "slow", "very_slow"
# The counts that belong to each kind.
_FIELDS = {
    kind: (f"old_{whole}", f"old_{kind}", f"new_{whole}", f"new_{kind}")
    for kind, whole in (
        (FAILED, "ended"),
        (SLOW, "timed"),
        (VERY_SLOW, "timed"),
    )
}


def make_evidence() -> dict[str, rollout_verdict.Evidence]:
    """Returns evidence without counts, by kind of badness."""
    return {
        FAILED: rollout_verdict.Evidence(FAILED),
        SLOW: rollout_verdict.Evidence(SLOW, rollout_verdict.SLOW_GROUP),
        VERY_SLOW: rollout_verdict.Evidence(
            VERY_SLOW, rollout_verdict.SLOW_GROUP
        ),
    }


def add_difference(
    evidence: dict[str, rollout_verdict.Evidence],
    newer: control_pb2.RolloutCounts,
    older: control_pb2.RolloutCounts,
) -> None:
    """Adds the results between two states of the counts of one route."""
    for kind, names in _FIELDS.items():
        grown = [
            max(0, getattr(newer, name) - getattr(older, name))
            for name in names
        ]
        if any(grown):
            evidence[kind].add(newer.route, rollout_verdict.Counts(*grown))


class Watch:
    """Counts one request at one target.

    A slow request counts once it has taken too long, before it ends.
    """

    def __init__(
        self,
        row: control_pb2.RolloutCounts,
        is_new: bool,
        usual_ms: clock.Millis | None,
        on_result: collections.abc.Callable[[str], None],
        clk: clock.Clock,
    ):
        """Begins to watch a request that is sent now.

        Args:
            row: Where it is counted.
            is_new: Whether its target has the new version.
            usual_ms: The usual work time; None if its time tells nothing,
                since the target is in cold start.
            on_result: Called with "ok", "failed" or "slow".
            clk: The clock.
        """
        self._row = row
        self._version = "new" if is_new else "old"
        self._on_result = on_result
        self._clock = clk
        self._began = clk.now()
        self._timer: asyncio.TimerHandle | None = None
        self._is_timed = False
        if is_new:
            row.new_sent += 1
        self._very_slow_in_ms = 0.0
        if usual_ms is not None:
            self._very_slow_in_ms = usual_ms * (VERY_SLOW_FACTOR - SLOW_FACTOR)
            self._start_timer(usual_ms * SLOW_FACTOR, self._note_slow)

    def _start_timer(
        self, in_ms: clock.Millis, note: collections.abc.Callable[[], None]
    ) -> None:
        self._timer = asyncio.get_running_loop().call_later(
            clock.seconds(in_ms), note
        )

    def _count(self, what: str, by: int = 1) -> None:
        name = f"{self._version}_{what}"
        setattr(self._row, name, getattr(self._row, name) + by)

    def _note_slow(self) -> None:
        self._is_timed = True
        self._count("timed")
        self._count(SLOW)
        self._on_result(SLOW)
        self._start_timer(self._very_slow_in_ms, self._note_very_slow)

    def _note_very_slow(self) -> None:
        self._timer = None
        self._count(VERY_SLOW)
        self._on_result(VERY_SLOW)

    def end(self, failed: bool) -> None:
        """Counts the end of a request that the target has run."""
        self._count("ended")
        if failed:
            self._count("failed")
        elif self._timer is not None and not self._is_timed:
            self._count("timed")
        if self._version == "new" and not failed:
            self._count("work_ms", round(self._clock.now() - self._began))
        self.drop()
        self._on_result(FAILED if failed else "ok")

    def drop(self) -> None:
        """Ends without a result: the request did not run, or was cancelled."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
