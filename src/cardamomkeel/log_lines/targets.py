"""Lines about backend servers."""

from cardamomkeel.log_lines import kinds

KINDS = (
    kinds.Kind(
        "registered announcement of target",
        kinds.INFO,
        ("target", "instance", "service", "state", "cold_ms"),
        "It is new, drains, or fell cold.",
    ),
    kinds.Kind(
        "target deregistered",
        kinds.INFO,
        ("instance",),
        "It gets nothing from now on.",
    ),
    kinds.Kind(
        "removing unresponsive targets",
        kinds.WARNING,
        ("targets",),
        "They have not announced themselves for too long.",
    ),
    kinds.Kind(
        "targets stopped announcing themselves",
        kinds.WARNING,
        ("count",),
        "So many that this entry owned have not announced themselves for too "
        "long.",
    ),
    kinds.Kind(
        "rejected heartbeat",
        kinds.WARNING,
        ("reason",),
        "It names no backend server to use; the others hold.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "refused announcement",
        kinds.WARNING,
        ("reason",),
        "What a backend server said of itself does not fit.",
    ),
    kinds.Kind(
        "target reset to cold start",
        kinds.INFO,
        ("target", "service", "why"),
        "It gets less until it has answered again.",
    ),
    kinds.Kind(
        "connection is unresponsive",
        kinds.WARNING,
        ("address",),
        "Its other end is not heard any more; it is replaced.",
    ),
    kinds.Kind(
        "ignored malformed datagram",
        kinds.WARNING,
        ("reason",),
        "What came on the port for loads is none of another entry.",
    ),
)
