"""Messages of log lines that were renamed, for searches in older logs."""

# The message that a line has now, by the one that it had before.
RENAMED: dict[str, str] = {
    "a break is not counted": "failed to report broken connection",
    "a caller left before its request was whole": (
        "caller disconnected before its request was complete"
    ),
    "a claimed request failed": "claimed request failed",
    "a connection is silent": "connection is unresponsive",
    "a forwarded request failed": "forwarded request failed",
    "a probe is not ended": "failed to end probe",
    "a request failed": "request failed",
    "a request is in quarantine": "request quarantined",
    "a request may have crashed a target": "request may have crashed target",
    "a target fell back into cold start": "target reset to cold start",
    "a task of the session has failed": "session task failed",
    "an answer was cut": "answer was truncated",
    "an attempt failed": "attempt failed",
    "can't hand over": "failed to hand over targets",
    "can't join": "failed to join control group",
    "cancelled a request": "cancelled request",
    "closed a connection whose answer is not read": (
        "closed connection with unread answer"
    ),
    "control is not told": "failed to report stop to control group",
    "failed": "answered request with error",
    "follows other control VMs": "control VMs changed",
    "follows routes": "applied routes",
    "has stopped": "stopped",
    "is stopping already": "ignored repeated stop signal",
    "keeps the routes before": "keeping previous routes",
    "keeps the settings before": "keeping previous settings",
    "no lease": "poll of control VM failed",
    "not answered": "request not answered",
    "passed over a datagram": "ignored malformed datagram",
    "refused": "rejected request before routing",
    "refused a request": "rejected invalid request",
    "runs": "started",
    "session has ended": "session expired",
    "stopped with requests under way": "stopped with requests in flight",
    "stops": "received stop signal",
    "stops at once": "stopping immediately",
    "stops before it has finished": "stopped before all steps finished",
    "targets are gone": "targets stopped announcing themselves",
    "the end of a request is not written down": (
        "failed to commit outcome of request"
    ),
    "the session's tasks have ended; starts them again": (
        "restarting session tasks"
    ),
}
