"""Which entries callers of a service should connect to."""

from cardamomkeel.routing import view as view_lib

MAX_ADDRESSES = 6


def get_addresses(
    view: view_lib.View, service: str, data_centre: str
) -> list[str]:
    """Returns addresses for the callers of a service, the best first.

    Args:
        view: The entry's view.
        service: The service; empty for any.
        data_centre: Where the caller is; empty for not known.
    """
    owners = {
        target.owner
        for target in view.get_targets_by_service(service)
        if not view.is_out(target)
    }
    usable = [
        entry
        for entry in view.entries.values()
        if not entry.leaving and not view.is_data_centre_out(entry.data_centre)
    ]
    usable.sort(
        key=lambda entry: (
            entry.session not in owners,
            entry.data_centre != data_centre,
            entry.name,
        )
    )
    return [entry.callers_address for entry in usable[:MAX_ADDRESSES]]
