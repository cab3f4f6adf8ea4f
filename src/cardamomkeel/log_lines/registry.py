"""All kinds of lines, and the fields that they hold."""

from cardamomkeel.log_lines import control
from cardamomkeel.log_lines import entries
from cardamomkeel.log_lines import kinds
from cardamomkeel.log_lines import programs
from cardamomkeel.log_lines import requests
from cardamomkeel.log_lines import targets

# In the order of the page, each with its heading.
SECTIONS: dict[str, tuple[kinds.Kind, ...]] = {
    "Requests": requests.KINDS,
    "Backend servers": targets.KINDS,
    "The control group and operators": control.KINDS,
    "Entries and control": entries.KINDS,
    "Start and end of a program": programs.KINDS,
}
# Every line has these.
COMMON_FIELDS = {
    "time": "when it was written, UTC, to the millisecond",
    "level": "how grave it is",
    "module": "where in the program it was written",
    "message": "its kind",
    "process_name": "the process that wrote it",
    "exception": "the fault that was raised, where one was",
}
# The other fields, with their units.
FIELDS = {
    "address": "the other end, IP number and port",
    "addresses": "the control VMs that are called from now on",
    "asked": "how often others were asked to lead",
    "base": "number of the configuration that it builds on",
    "callers": "where callers reach it, IP number and port",
    "cold_ms": "how long its cold start lasts yet, ms",
    "control": "the control VM, IP number and port",
    "count": "how many",
    "data_centre": "its name",
    "fingerprint": "of path, caller and body of a request",
    "in_flight": "requests under way",
    "index": "of the newest entry of the log that is compacted",
    "instance": "one start of a target",
    "key": "idempotency key of a request",
    "leader": "the member that leads now",
    "left_ms": "what was left of the caller's time, ms; below 0: it was over",
    "spent_ms": "how long the caller had waited before this try, ms, as far as "
    "its deadline tells; with took_ms beyond the objective of the route, "
    "the request was late and left room to others",
    "member": "of the control group, name and incarnation",
    "method": "of a call",
    "missing": "addresses of members that have not answered yet",
    "number": "of a configuration",
    "outcome": "`not-run` or `unknown`",
    "owned": "targets that it still owns",
    "path": "of a request or a call",
    "peer": "the caller, IP number and port",
    "reason": "why, with the values that decided it",
    "request_id": "the caller's name for one attempt",
    "route": "the route that fits the request",
    "service": "the service",
    "session": "of an entry at control",
    "sessions": "of entries at control",
    "signal": "its number",
    "state": "`ready`, `cold` or `draining`",
    "status": "that was answered",
    "step": "of a stop",
    "target": "IP number and port",
    "targets": "IP numbers and ports, in the order in which they were tried",
    "term": "of the leadership",
    "took_ms": "from its first byte to its answer, ms",
    "why": "what showed it",
}


def list_kinds() -> list[kinds.Kind]:
    """Returns all kinds, in the order of the page."""
    return [kind for section in SECTIONS.values() for kind in section]


def get_max_per_s(message: str) -> float:
    """Returns how many lines of a kind a process may write a second.

    Raises:
        KeyError: It has no such bound.
    """
    for kind in list_kinds():
        if kind.message == message and kind.max_per_s is not None:
            return kind.max_per_s
    raise KeyError(message)
