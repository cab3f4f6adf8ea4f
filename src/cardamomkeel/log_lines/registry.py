"""All kinds of log lines and their fields."""

from cardamomkeel.log_lines import control
from cardamomkeel.log_lines import entries
from cardamomkeel.log_lines import kinds
from cardamomkeel.log_lines import programs
from cardamomkeel.log_lines import requests
from cardamomkeel.log_lines import rollouts
from cardamomkeel.log_lines import targets

# The kinds by the heading of their section, in the order of the page.
SECTIONS: dict[str, tuple[kinds.Kind, ...]] = {
    "Requests": requests.KINDS,
    "Backend servers": targets.KINDS,
    "The control group and operators": control.KINDS,
    "Entries and control": entries.KINDS,
    "Roll-outs": rollouts.KINDS,
    "Start and stop of a program": programs.KINDS,
}
# The fields of every line.
COMMON_FIELDS = {
    "time": "when the line was written, UTC, with milliseconds",
    "level": "the log level",
    "module": "the Python module that wrote the line",
    "message": "the kind of the line",
    "process_name": "the process that wrote the line",
    "exception": "the exception that was raised, if any",
}
# The meanings of the other fields, with their units.
FIELDS = {
    "account": "name of the client account; empty if it is not known",
    "address": "the other end of the connection, IP address and port",
    "addresses": "the control VMs that are called from now on",
    "asked": "how many members were requested to become the leader",
    "age_ms": "how long ago the newest of these figures was recorded, ms",
    "asked_ms": "the time in which a target wants no requests, ms",
    "base": "number of the configuration that the new one is based on",
    "bytes": "bytes of heads, bodies and answers that a connection holds",
    "callers": "the address for callers, IP address and port",
    "cold_ms": "remaining time of the cold start, ms",
    "control": "the control VM, IP address and port",
    "count": "number of lines, requests, connections or targets",
    "data_centre": "name of the data centre",
    "duration_ms": "time from the order of a roll-out to its deadline, ms",
    "elapsed_ms": "time since the order of a roll-out, ms",
    "fingerprint": "hash of the path, caller and body of a request",
    "held": "bytes that all connections hold",
    "held_ms": "the time in which a target is sent no requests, ms",
    "in_flight": "requests in flight",
    "index": "index of the newest compacted entry of the log",
    "entries": "how many entries of the log were replaced",
    "log_bytes": "length of these entries",
    "snapshot_bytes": "length of the snapshot",
    "command_bytes": "length of the refused command",
    "allowed_bytes": "length of the longest command that is accepted",
    "instance": "id of one start of a target",
    "key": "idempotency key of a request, or key of a row",
    "leader": "the new leader",
    "limit": "bytes that all connections may hold",
    "left_ms": "remaining time until the deadline of the caller, ms; negative "
    "after the deadline",
    "spent_ms": "how long the caller had waited before this attempt, ms, "
    "derived from its deadline; if spent_ms and took_ms together exceed the "
    "objective of the route, the request was late and others were preferred",
    "member": "member of the control group, name and incarnation",
    "method": "method of a call",
    "missing": "addresses of members that have not answered yet",
    "new_sent": "requests sent to the new version since the order",
    "number": "number of the configuration or of the routes",
    "order": "number that identifies an order of a roll-out",
    "outcome": "`not-run` or `unknown`",
    "owned": "targets that the entry still owns",
    "path": "path of a request or a call",
    "peer": "the caller, IP address and port",
    "reason": "the cause, with the values that it depends on",
    "request_id": "id that the caller gave one attempt",
    "retry_after_ms": "when the caller may send the request again, ms; 0 if it "
    "is not told",
    "requests": "requests of a service since the order of a roll-out",
    "route": "the route that matches the request",
    "service": "the service",
    "session": "session of an entry with the control group",
    "rooms": "demand, capacity and running requests in slots, and the age of"
    " these figures in ms, by data centre",
    "sessions": "sessions of entries with the control group",
    "shares": "shares of the requests, by data centre they leave to",
    "share": "part of the requests that the new version gets, from 0 to 1",
    "signal": "number of the signal",
    "stage": "stage of a roll-out",
    "state": "`ready`, `cold` or `draining`",
    "status": "status of the answer",
    "still_ms": "how long a connection stood still, ms",
    "step": "step of a planned stop",
    "target": "the target, IP address and port",
    "targets": "IP addresses and ports, in the order of the attempts",
    "term": "term of the leader",
    "took_ms": "time from the first byte of the request to the answer, ms",
    "waited_ms": "how long ago the request was sent to the target, ms",
    "wait_ms": "expected wait of a request for a free target, ms",
    "value": "the value of a header, cut to 100 bytes",
    "way_cost": "cost of the way of one request, in requests answered in time",
    "version": "version of the software of targets",
    "why": "the observation that caused the reset",
}


def list_kinds() -> list[kinds.Kind]:
    """Returns all kinds, in the order of the page."""
    return [kind for section in SECTIONS.values() for kind in section]


def get_max_per_s(message: str) -> float:
    """Returns the rate limit of a kind of line, per second and process.

    Raises:
        KeyError: The kind has no rate limit.
    """
    for kind in list_kinds():
        if kind.message == message and kind.max_per_s is not None:
            return kind.max_per_s
    raise KeyError(message)
