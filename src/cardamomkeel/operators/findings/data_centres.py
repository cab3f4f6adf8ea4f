"""Checks for data centres that are out of service or lack entries."""

import collections.abc

from cardamomkeel.operators import fleet as fleet_lib
from cardamomkeel.operators.findings import base


def find(fleet: fleet_lib.Fleet) -> collections.abc.Iterator[base.Finding]:
    """Yields what is out of service, and data centres without an entry."""
    for out in fleet.out_of_service:
        yield base.Finding(
            base.Level.NOTE,
            out.address or out.data_centre,
            f"was taken out of service by {out.operator or 'an operator'}",
            "cardamomkeel bring-back, once it may serve again",
        )
    with_entry = {r.row.data_centre for r in fleet.entries if not r.row.leaving}
    for name in sorted({t.data_centre for t in fleet.targets} - with_entry):
        yield base.Finding(
            base.Level.WARN,
            name,
            "has targets but no entry, so each call crosses to it",
            "start an entry there",
        )
