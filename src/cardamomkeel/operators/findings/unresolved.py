"""Checks for requests that only an operator can resolve."""

import collections
import collections.abc

from cardamomkeel.operators import fleet as fleet_lib
from cardamomkeel.operators.findings import base


def find(fleet: fleet_lib.Fleet) -> collections.abc.Iterator[base.Finding]:
    """Yields services with unknown outcomes, and quarantined requests."""
    unknown = collections.Counter(
        row.service for row in fleet.unresolved.unknown
    )
    for service, count in sorted(unknown.items()):
        yield base.Finding(
            base.Level.ACT,
            service,
            f"{count} requests have an unknown outcome",
            "cardamomkeel unknown list; find out whether they ran, then "
            "cardamomkeel resolve",
        )
    for row in fleet.unresolved.quarantines:
        yield base.Finding(
            base.Level.WARN,
            row.service,
            f"request {row.fingerprint} crashes backend servers and is refused",
            "mend the backend server, then cardamomkeel resolve "
            f"--fingerprint {row.fingerprint}",
        )
