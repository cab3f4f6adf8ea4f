"""Log lines about single requests at the entries."""

from cardamomkeel.log_lines import kinds

KINDS = (
    kinds.Kind(
        "answered request with error",
        kinds.INFO,
        (
            "request_id",
            "status",
            "reason",
            "service",
            "route",
            "targets",
            "took_ms",
            "left_ms",
            "spent_ms",
        ),
        "The entry answered with an error of its own.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "rejected request before routing",
        kinds.INFO,
        ("status", "reason"),
        "No route fits the request, or there are no routes yet.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "refused admission of request",
        kinds.INFO,
        (
            "request_id",
            "account",
            "status",
            "reason",
            "route",
            "retry_after_ms",
        ),
        "The key of the request belongs to no account, its account has reached"
        " its limit, or its service is short of room. The request was sent to"
        " no target.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "rejected invalid request",
        kinds.INFO,
        ("status", "reason"),
        "A caller sent a malformed request; the entry answered with an error.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "ended connection for room",
        kinds.WARNING,
        ("bytes", "still_ms", "held", "limit"),
        "A caller's connection that stood still was refused (503) or closed, so"
        " that others found room in the memory or a descriptor. Its incomplete"
        " request has not run.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "dropped lines",
        kinds.WARNING,
        ("count",),
        "This number of lines was not written, because their kind exceeded its"
        " rate limit or because the reader of the log fell behind.",
    ),
    kinds.Kind(
        "request not answered",
        kinds.INFO,
        ("request_id", "service", "outcome", "target", "reason"),
        "An entry that owns targets could not answer. The outcome shows whether"
        " the request may have run.",
    ),
    kinds.Kind(
        "refused request",
        kinds.INFO,
        ("request_id", "reason", "peer"),
        "The request was refused before it was sent to a target.",
    ),
    kinds.Kind(
        "caller disconnected before its request was complete",
        kinds.INFO,
        (),
        "The request was not sent to a target.",
    ),
    kinds.Kind(
        "closed connection with unread answer",
        kinds.INFO,
        (),
        "The caller did not read its answer in time.",
    ),
    kinds.Kind(
        "cancelled request",
        kinds.INFO,
        ("path",),
        "The caller closed its connection; the entry cancels the request at the"
        " target.",
    ),
    kinds.Kind(
        "answer was truncated",
        kinds.INFO,
        ("reason",),
        "A target ended its answer early; the caller sees that the answer is"
        " truncated.",
    ),
    kinds.Kind(
        "request failed",
        kinds.ERROR,
        ("path", "service"),
        "A bug in this program; report it with the lines before it.",
    ),
    kinds.Kind(
        "claimed request failed",
        kinds.ERROR,
        ("key",),
        "A bug in this program; report it with the lines before it.",
    ),
    kinds.Kind(
        "attempt failed",
        kinds.ERROR,
        ("key",),
        "A bug in this program; report it with the lines before it.",
    ),
    kinds.Kind(
        "forwarded request failed",
        kinds.ERROR,
        (),
        "A bug in this program; report it with the lines before it.",
    ),
    kinds.Kind(
        "failed to commit outcome of request",
        kinds.ERROR,
        ("service", "key", "reason"),
        "The result of a request with a key could not be reported to the"
        " control group. If the caller repeats the request, the answer is that"
        " it may have run.",
    ),
    kinds.Kind(
        "request may have crashed target",
        kinds.WARNING,
        ("target", "fingerprint"),
        "Requests with this fingerprint are refused once two targets crashed"
        " while running one.",
    ),
    kinds.Kind(
        "request quarantined",
        kinds.ERROR,
        ("service", "path", "fingerprint"),
        "The request crashed targets and is refused; find out why it crashes"
        " them.",
    ),
    kinds.Kind(
        "failed to report broken connection",
        kinds.WARNING,
        ("reason",),
        "The control group did not accept the report that a target broke a"
        " connection.",
    ),
    kinds.Kind(
        "failed to end probe",
        kinds.WARNING,
        ("reason",),
        "The control group did not accept the result of a probe with a"
        " quarantined request.",
    ),
)
