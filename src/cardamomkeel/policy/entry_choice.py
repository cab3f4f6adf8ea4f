"""Which entries callers are told to use."""

import collections.abc

from cardamomkeel.wire import control_pb2

# Callers read no more of an answer.
MAX_ADDRESSES = 64
# With fewer near entries than this, those of other data centres are named
# too, so that the loss of one leaves callers another.
MIN_LOCAL_ENTRIES = 2


def choose(
    entries: collections.abc.Iterable[control_pb2.EntryRecord],
    data_centre: str,
    is_unresponsive: collections.abc.Callable[[str], bool],
) -> list[str]:
    """Returns the addresses of the entries near a caller.

    Args:
        entries: All that are known.
        data_centre: Where the caller is; empty for not known.
        is_unresponsive: Returns whether an entry, by its name, was not heard
            from although it should have been.
    """
    usable = [entry for entry in entries if not entry.leaving]
    responsive = [e for e in usable if not is_unresponsive(e.name)]
    usable = responsive or usable
    local = [e for e in usable if e.data_centre == data_centre]
    chosen = local if len(local) >= MIN_LOCAL_ENTRIES else usable
    return sorted({e.callers_address for e in chosen})[:MAX_ADDRESSES]
