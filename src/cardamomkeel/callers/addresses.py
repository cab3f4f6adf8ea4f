"""Selects the entries that callers of a service should connect to."""

import random

from cardamomkeel.routing import messages
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

# Enough for a caller to fail over a few times.
MAX_ADDRESSES = 6


def list_addresses(
    view: view_lib.View,
    service: str,
    data_centre: str,
    rng: random.Random,
    excluded_session: int = 0,
) -> list[str]:
    """Returns addresses of entries for callers, the most suitable first.

    Entries that own targets of the service come first; among these and among
    the others, entries in the data centre of the caller come first. Ties are
    broken at random to spread the callers.

    Args:
        view: The entry's view.
        service: The service; empty for any.
        data_centre: The data centre of the caller; empty if unknown.
        rng: Breaks ties.
        excluded_session: The session of an entry to leave out; 0 for none.
    """
    owners = {
        target.owner
        for target in view.get_targets_by_service(service)
        if not view.refuses_new_work(target)
    }
    usable = [
        entry
        for entry in view.entries.values()
        if entry.session != excluded_session and _is_usable(view, entry)
    ]
    usable.sort(
        key=lambda entry: (
            entry.session not in owners,
            entry.data_centre != data_centre,
            rng.random(),
        )
    )
    return [entry.callers_address for entry in usable[:MAX_ADDRESSES]]


def _is_usable(view: view_lib.View, entry: control_pb2.EntryRecord) -> bool:
    return not entry.leaving and not view.is_data_centre_out_of_service(
        entry.data_centre
    )


def make_not_fresh_result(
    other_entries: list[str], may_have_run: bool
) -> messages.RequestResult:
    """Returns the result of a request at an entry without a valid lease.

    Args:
        other_entries: The last known addresses of other entries.
        may_have_run: Whether the request may have been sent before.
    """
    return messages.lease_expired(may_have_run, format_remedy(other_entries))


def format_remedy(other_entries: list[str]) -> str:
    """Returns the remedy in errors of an entry without a valid lease."""
    if not other_entries:
        return "send it to another entry"
    return "send it to another entry: " + ", ".join(other_entries)
