"""Log lines about backend servers."""

from cardamomkeel.log_lines import kinds

KINDS = (
    kinds.Kind(
        "registered announcement of target",
        kinds.INFO,
        ("target", "instance", "service", "state", "cold_ms"),
        "The target is new, is draining, or started a cold start.",
    ),
    kinds.Kind(
        "target deregistered",
        kinds.INFO,
        ("instance",),
        "The target is stopping and gets no more requests.",
    ),
    kinds.Kind(
        "removing unresponsive targets",
        kinds.WARNING,
        ("targets",),
        "These targets have not announced themselves for too long.",
    ),
    kinds.Kind(
        "targets stopped announcing themselves",
        kinds.WARNING,
        ("count",),
        "This number of targets that the entry owned have not announced"
        " themselves for too long.",
    ),
    kinds.Kind(
        "rejected heartbeat",
        kinds.WARNING,
        ("reason",),
        "One heartbeat names no usable backend server and was ignored; the"
        " other heartbeats were handled.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "refused announcement",
        kinds.WARNING,
        ("reason",),
        "The announcement of a backend server is invalid.",
    ),
    kinds.Kind(
        "target leaves",
        kinds.INFO,
        ("target", "instance"),
        "The target said in an answer that it stops soon. This entry sends it"
        " nothing more.",
    ),
    kinds.Kind(
        "share that leaves changed",
        kinds.INFO,
        ("service", "shares", "way_cost", "rooms"),
        "The share of the requests of this service that this entry sends to"
        " other data centres, and what it was decided from.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "target pushed back",
        kinds.INFO,
        ("target", "instance", "asked_ms", "held_ms"),
        "The target refused a request and asked for no more of them. This entry"
        " sends it none for `held_ms`.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "ignored push-back",
        kinds.WARNING,
        ("target", "value"),
        "The target refused a request with a Retry-After that is no number of"
        " seconds; it is sent requests as before.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "target does not work on request",
        kinds.WARNING,
        ("target", "instance", "waited_ms"),
        "The target took a request and reports that it works on none. The entry"
        " closes the connection and sends the target nothing for a second.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "service is short of room",
        kinds.WARNING,
        ("service", "wait_ms", "age_ms", "targets"),
        "Requests wait `wait_ms` for a target, by the last waits, the newest"
        " `age_ms` ago. The entry refuses requests that can't be in time.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "service has room again",
        kinds.INFO,
        ("service", "wait_ms", "age_ms", "targets"),
        "The end of a shortage of room.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "target reset to cold start",
        kinds.INFO,
        ("target", "service", "why"),
        "The target gets fewer requests until it has answered enough of them.",
    ),
    kinds.Kind(
        "connection is unresponsive",
        kinds.WARNING,
        ("address",),
        "The other end stopped responding; the connection is replaced.",
    ),
    kinds.Kind(
        "ignored malformed datagram",
        kinds.WARNING,
        ("reason",),
        "A datagram on the port for load reports was not sent by another"
        " entry.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
)
