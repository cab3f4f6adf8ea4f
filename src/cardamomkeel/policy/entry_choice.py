"""Selects the entries whose addresses are given to callers."""

import collections.abc
import zlib

from cardamomkeel.wire import control_pb2

# Callers read at most this many addresses of an answer.
MAX_ADDRESSES = 64
# With fewer local entries than this, entries of other data centres are included
# so that callers have another entry if one is lost.
MIN_LOCAL_ENTRIES = 2


def choose(
    entries: collections.abc.Iterable[control_pb2.EntryRecord],
    data_centre: str,
    is_unresponsive: collections.abc.Callable[[str], bool],
    is_out_of_service: collections.abc.Callable[[str], bool],
) -> list[str]:
    """Returns the addresses of the entries that a caller should use.

    Args:
        entries: All known entries.
        data_centre: Data centre of the caller; empty if unknown.
        is_unresponsive: Returns whether nothing was recently received from the
            entry with a name, although it should have sent something.
        is_out_of_service: Returns whether a data centre is out of service.
            Entries in it reach no target without leaving it.
    """
    usable = [entry for entry in entries if not entry.leaving]
    usable = [e for e in usable if not is_unresponsive(e.name)] or usable
    usable = [
        e for e in usable if not is_out_of_service(e.data_centre)
    ] or usable
    local = [e for e in usable if e.data_centre == data_centre]
    chosen = local if len(local) >= MIN_LOCAL_ENTRIES else usable
    return _limit({e.callers_address for e in chosen}, data_centre)


def _limit(addresses: set[str], data_centre: str) -> list[str]:
    """Returns at most `MAX_ADDRESSES`, others for each data centre."""
    if len(addresses) <= MAX_ADDRESSES:
        return sorted(addresses)

    def rank(address: str) -> int:
        return zlib.crc32(f"{data_centre} {address}".encode())

    return sorted(sorted(addresses, key=rank)[:MAX_ADDRESSES])
