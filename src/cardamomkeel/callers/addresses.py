"""Which entries callers of a service should connect to."""

import random

from cardamomkeel.routing import messages
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

# A caller needs a few addresses to turn to when one fails, not all.
MAX_ADDRESSES = 6


def list_addresses(
    view: view_lib.View,
    service: str,
    data_centre: str,
    rng: random.Random,
    excluded_session: int = 0,
) -> list[str]:
    """Returns addresses for the callers of a service, the best first.

    Owners of the service come first, and near ones before others. Among
    equals the order is random, so that callers spread over them.

    Args:
        view: The entry's view.
        service: The service; empty for any.
        data_centre: Where the caller is; empty for not known.
        rng: Decides between equals.
        excluded_session: The session of an entry to leave out; 0 for none.
    """
    owners = {
        target.owner
        for target in view.get_targets_by_service(service)
        if not view.is_out(target)
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
    return not entry.leaving and not view.is_data_centre_out(entry.data_centre)


def make_not_fresh_result(
    other_entries: list[str], may_have_run: bool
) -> messages.Ended:
    """Returns the end of a request at an entry that is not fresh.

    Args:
        other_entries: Addresses of other entries, as this one last knew them.
        may_have_run: Whether the request may have been sent before.
    """
    return messages.not_fresh(may_have_run, format_remedy(other_entries))


def format_remedy(other_entries: list[str]) -> str:
    """Returns what to do where an entry is not fresh."""
    if not other_entries:
        return "send it to another entry"
    return "send it to another entry: " + ", ".join(other_entries)
