"""Checks that every service has targets, in two data centres or more."""

import collections.abc

from cardamomkeel.operators import fleet as fleet_lib
from cardamomkeel.operators.findings import base
from cardamomkeel.policy import out_of_service


def find(fleet: fleet_lib.Fleet) -> collections.abc.Iterator[base.Finding]:
    """Yields services that lack targets or are not in the settings text."""
    usable = [target for target in fleet.targets if _is_usable(fleet, target)]
    for name in fleet.text.services:
        own = [target for target in usable if target.service == name]
        yield from _check_service(name, own)
    listed = set(fleet.text.services)
    for name in sorted({t.service for t in fleet.targets} - listed):
        yield base.Finding(
            base.Level.WARN,
            name,
            "backend servers announce it, but the settings text lacks it",
            "add it to the settings text, or end those backend servers",
        )


def _is_usable(fleet: fleet_lib.Fleet, target: fleet_lib.TargetRow) -> bool:
    refuses_work = target.state in out_of_service.STATES_WITHOUT_WORK
    return not refuses_work and not fleet.is_out_of_service(target)


def _check_service(
    name: str, usable: list[fleet_lib.TargetRow]
) -> collections.abc.Iterator[base.Finding]:
    if not usable:
        yield base.Finding(
            base.Level.ACT,
            name,
            "has no usable target; its requests are answered as not run",
            "start backend servers of it, or bring back what is out",
        )
        return
    if len({target.data_centre for target in usable}) == 1:
        yield base.Finding(
            base.Level.WARN,
            name,
            f"has usable targets in {usable[0].data_centre} alone",
            "run backend servers of it in another data centre",
        )
