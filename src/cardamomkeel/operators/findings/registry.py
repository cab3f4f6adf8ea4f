"""All checks, by name."""

from cardamomkeel.operators import fleet as fleet_lib
from cardamomkeel.operators.findings import base
from cardamomkeel.operators.findings import control_group
from cardamomkeel.operators.findings import data_centres
from cardamomkeel.operators.findings import entries
from cardamomkeel.operators.findings import services
from cardamomkeel.operators.findings import targets
from cardamomkeel.operators.findings import unresolved

CHECKS: dict[str, base.Check] = {
    "control-group": control_group.find,
    "entries": entries.find,
    "services": services.find,
    "targets": targets.find,
    "data-centres": data_centres.find,
    "open-matters": unresolved.find,
}
_ORDER = list(base.Level)


def find_all(fleet: fleet_lib.Fleet) -> list[base.Finding]:
    """Returns the findings of all checks, the most urgent first."""
    found = [finding for check in CHECKS.values() for finding in check(fleet)]
    return sorted(found, key=lambda f: (_ORDER.index(f.level), f.subject))
