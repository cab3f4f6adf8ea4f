"""Lines about single requests, at the entries."""

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
        "An entry answered with a failure of its own.",
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
        "rejected invalid request",
        kinds.INFO,
        ("status", "reason"),
        "What a caller sent is no request that can be read; it was answered.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "dropped lines",
        kinds.WARNING,
        ("count",),
        "So many lines were left out: more came than a second may hold, or "
        "nobody read them.",
    ),
    kinds.Kind(
        "request not answered",
        kinds.INFO,
        ("request_id", "service", "outcome", "target", "reason"),
        "An entry that owns targets could not answer; the outcome says "
        "whether the request may have run.",
    ),
    kinds.Kind(
        "refused request",
        kinds.INFO,
        ("request_id", "reason", "peer"),
        "What a caller sent was refused before it was given to a target.",
    ),
    kinds.Kind(
        "caller disconnected before its request was complete",
        kinds.INFO,
        (),
        "Nothing was sent to a target.",
    ),
    kinds.Kind(
        "closed connection with unread answer",
        kinds.INFO,
        (),
        "A caller did not take its answer in time.",
    ),
    kinds.Kind(
        "cancelled request",
        kinds.INFO,
        ("path",),
        "Its caller has left; the target is told.",
    ),
    kinds.Kind(
        "answer was truncated",
        kinds.INFO,
        ("reason",),
        "A target ended its answer early; the caller sees it as cut.",
    ),
    kinds.Kind(
        "request failed",
        kinds.ERROR,
        ("path", "service"),
        "A fault of this program: report it with the lines before it.",
    ),
    kinds.Kind(
        "claimed request failed",
        kinds.ERROR,
        ("key",),
        "A fault of this program: report it with the lines before it.",
    ),
    kinds.Kind(
        "attempt failed",
        kinds.ERROR,
        ("key",),
        "A fault of this program: report it with the lines before it.",
    ),
    kinds.Kind(
        "forwarded request failed",
        kinds.ERROR,
        (),
        "A fault of this program: report it with the lines before it.",
    ),
    kinds.Kind(
        "failed to commit outcome of request",
        kinds.ERROR,
        ("service", "key", "reason"),
        "Control could not be told how a request with a key ended; who asks "
        "again is told that it may have run.",
    ),
    kinds.Kind(
        "request may have crashed target",
        kinds.WARNING,
        ("target", "fingerprint"),
        "The request with this fingerprint is refused once two targets went "
        "down under it.",
    ),
    kinds.Kind(
        "request quarantined",
        kinds.ERROR,
        ("service", "path", "fingerprint"),
        "It crashed targets and is refused; find out what is wrong with it.",
    ),
    kinds.Kind(
        "failed to report broken connection",
        kinds.WARNING,
        ("reason",),
        "Control could not be told that a target broke a connection.",
    ),
    kinds.Kind(
        "failed to end probe",
        kinds.WARNING,
        ("reason",),
        "Control could not be told how a trial of a quarantined request ended.",
    ),
)
