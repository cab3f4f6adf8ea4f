"""Messages of log lines that were renamed, for searches in older logs."""

# The message that a line has now, by the one that it had before.
RENAMED: dict[str, str] = {
    "a caller left before its request was whole": (
        "caller disconnected before its request was complete"
    ),
    "a connection is silent": "connection is unresponsive",
    "a forwarded request failed": "forwarded request failed",
    "an answer was cut": "answer was truncated",
    "cancelled a request": "cancelled request",
    "closed a connection whose answer is not read": (
        "closed connection with unread answer"
    ),
    "not answered": "request not answered",
    "targets are gone": "targets stopped announcing themselves",
    "a request may have crashed a target": "request may have crashed target",
    "failed": "answered request with error",
    "passed over a datagram": "ignored malformed datagram",
    "refused": "rejected request before routing",
    "refused a request": "rejected invalid request",
    "stopped with requests under way": "stopped with requests in flight",
}
