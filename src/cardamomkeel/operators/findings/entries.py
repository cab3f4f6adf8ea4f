"""Checks that every entry follows the newest configuration."""

import collections.abc

from cardamomkeel.operators import fleet as fleet_lib
from cardamomkeel.operators.findings import base


def find(fleet: fleet_lib.Fleet) -> collections.abc.Iterator[base.Finding]:
    """Yields entries that don't answer, have no lease, stop or are behind."""
    for report in fleet.entries:
        finding = _check_entry(report, fleet.version)
        if finding is not None:
            yield finding


def _check_entry(
    report: fleet_lib.EntryReport, version: int
) -> base.Finding | None:
    name, state = report.row.name, report.state
    if state is None:
        return base.Finding(
            base.Level.ACT,
            name,
            "does not answer its operators' address",
            "see that its VM runs; its targets move once its lease is over",
        )
    if not state.fresh:
        return base.Finding(
            base.Level.ACT,
            name,
            "has no lease and gives no work",
            "look at the network between it and the control VMs; see "
            "docs/operators/no-quorum.md",
        )
    if report.row.leaving:
        return base.Finding(
            base.Level.NOTE,
            name,
            "is stopping",
            "nothing; it exits once nothing is in flight",
        )
    if state.version < version:
        return base.Finding(
            base.Level.NOTE,
            name,
            f"follows version {state.version} of {version}",
            f"if it lasts: cardamomkeel explain --version {version}",
        )
    return None
