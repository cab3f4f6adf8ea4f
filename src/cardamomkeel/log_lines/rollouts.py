"""Log lines about roll-outs of a service's version."""

from cardamomkeel.log_lines import kinds

KINDS = (
    kinds.Kind(
        "received roll-out",
        kinds.INFO,
        ("service", "version", "duration_ms", "status", "reason"),
        "An operator ordered a roll-out, or the same one again.",
    ),
    kinds.Kind(
        "rejected roll-out",
        kinds.WARNING,
        ("reason",),
        "An operator's order can't be carried out; see the reason.",
    ),
    kinds.Kind(
        "moved roll-out",
        kinds.INFO,
        (
            "service",
            "version",
            "stage",
            "share",
            "reason",
            "elapsed_ms",
            "requests",
            "new_sent",
        ),
        "The leader moved a roll-out to a stage, with the counts that decided."
        " docs/operators/roll-outs.md lists the stages.",
    ),
    kinds.Kind(
        "stopped sending to new version",
        kinds.WARNING,
        ("service", "version", "order", "reason"),
        "This entry, or another one of its data centre, saw that the new"
        " version is bad beyond doubt. The leader rolls it back as soon as it"
        " hears of it.",
    ),
)
