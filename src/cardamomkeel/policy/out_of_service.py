"""Rules for taking data centres and backend servers out of service."""

from cardamomkeel.wire import control_pb2

# A target in one of these announced states gets no new work.
STATES_WITHOUT_WORK = ("draining", "leaving")


def is_out_of_service(
    target: control_pb2.TargetRecord, outs: list[control_pb2.OutRecord]
) -> bool:
    """Returns whether a target must not get new work."""
    if target.state in STATES_WITHOUT_WORK:
        return True
    return any(
        out.address == target.address
        if out.address
        else out.data_centre == target.data_centre
        for out in outs
    )


def find_services_without_target(
    targets: list[control_pb2.TargetRecord],
    outs: list[control_pb2.OutRecord],
    added: control_pb2.OutRecord,
) -> list[str]:
    """Returns the services whose last target would be taken out.

    Args:
        targets: All known targets.
        outs: Data centres and servers that are out of service already.
        added: Data centre or server to take out.
    """
    served = {t.service for t in targets if not is_out_of_service(t, outs)}
    remaining = {
        t.service for t in targets if not is_out_of_service(t, [*outs, added])
    }
    return sorted(served - remaining)


def find_refusal_reason(
    targets: list[control_pb2.TargetRecord],
    entries: list[control_pb2.EntryRecord],
    outs: list[control_pb2.OutRecord],
    added: control_pb2.OutRecord,
) -> str:
    """Returns why a record may not be taken out; empty if it may."""
    if not _is_known(targets, entries, added):
        named = added.address or added.data_centre
        return f"no entry or backend server of {named!r} is known"
    without_target = find_services_without_target(targets, outs, added)
    if without_target:
        return "these services would have no target left: " + ", ".join(
            without_target
        )
    usable = [
        e for e in entries if not e.leaving and not _is_entry_out(e, outs)
    ]
    if usable and all(_is_entry_out(e, [added]) for e in usable):
        return "callers would have no entry left"
    return ""


def _is_known(
    targets: list[control_pb2.TargetRecord],
    entries: list[control_pb2.EntryRecord],
    out: control_pb2.OutRecord,
) -> bool:
    if out.address:
        return any(target.address == out.address for target in targets)
    return any(
        known.data_centre == out.data_centre for known in [*targets, *entries]
    )


def _is_entry_out(
    entry: control_pb2.EntryRecord, outs: list[control_pb2.OutRecord]
) -> bool:
    return any(
        not out.address and out.data_centre == entry.data_centre for out in outs
    )
