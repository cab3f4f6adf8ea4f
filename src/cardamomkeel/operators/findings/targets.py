"""Checks for targets that get less work than they can handle, or none."""

import collections
import collections.abc
import dataclasses

from cardamomkeel.operators import fleet as fleet_lib
from cardamomkeel.operators.findings import base

# Of a target's newest requests.
MIN_REPORTED_FAILURE_SHARE = 0.5


@dataclasses.dataclass
class _ServiceCounts:
    """Numbers of a service's targets, as their owners report them."""

    targets: int = 0
    cold: int = 0
    residual: int = 0
    full: int = 0


def find(fleet: fleet_lib.Fleet) -> collections.abc.Iterator[base.Finding]:
    """Yields targets without an owner, and what limits the others."""
    yield from _find_unowned(fleet)
    slots = {
        target.address: _get_warm_slots(fleet, target)
        for target in fleet.targets
    }
    counts: dict[str, _ServiceCounts] = collections.defaultdict(_ServiceCounts)
    for address, owned in _list_owned(fleet):
        _count_target(counts[owned.service], owned, slots.get(address, 0))
        if owned.failures >= MIN_REPORTED_FAILURE_SHARE:
            yield base.Finding(
                base.Level.WARN,
                address,
                f"fails {owned.failures:.0%} of its newest requests of "
                f"{owned.service}",
                "look at this backend server; it gets one request at a time",
            )
    for service, count in sorted(counts.items()):
        yield from _describe(service, count)


def _get_warm_slots(fleet: fleet_lib.Fleet, target: fleet_lib.TargetRow) -> int:
    """Returns a target's limit of concurrent requests after cold start."""
    service = fleet.text.services.get(target.service)
    if service is None:
        return target.slots
    return min(target.slots or service.slots, service.slots)


def _list_owned(
    fleet: fleet_lib.Fleet,
) -> collections.abc.Iterator[tuple[str, fleet_lib.OwnedTarget]]:
    for report in fleet.entries:
        if report.state is not None:
            yield from report.state.owned.items()


def _find_unowned(
    fleet: fleet_lib.Fleet,
) -> collections.abc.Iterator[base.Finding]:
    sessions = {report.row.session for report in fleet.entries}
    unowned = [t.address for t in fleet.targets if t.owner not in sessions]
    if unowned:
        yield base.Finding(
            base.Level.WARN,
            ", ".join(sorted(unowned)),
            "has no owner and gets no work",
            "wait a moment; if it lasts, see that an entry runs",
        )


def _count_target(
    count: _ServiceCounts, owned: fleet_lib.OwnedTarget, slots: int
) -> None:
    count.targets += 1
    count.cold += owned.limit < slots
    count.residual += owned.residual > 0
    count.full += owned.in_flight + owned.residual >= owned.limit


def _describe(
    service: str, count: _ServiceCounts
) -> collections.abc.Iterator[base.Finding]:
    of_all = f"of {count.targets} targets"
    if count.full == count.targets:
        yield base.Finding(
            base.Level.WARN,
            service,
            f"all slots of its {count.targets} targets are taken",
            "start more backend servers of it if it lasts",
        )
    if count.residual:
        yield base.Finding(
            base.Level.NOTE,
            service,
            f"{count.residual} {of_all} may still run work of an owner that "
            "was lost",
            "nothing; that work ends within the longest deadline",
        )
    if count.cold:
        yield base.Finding(
            base.Level.NOTE,
            service,
            f"{count.cold} {of_all} are in cold start",
            "nothing; their limits grow with each success",
        )
