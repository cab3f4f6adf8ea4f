"""Lines about the start and the end of a program."""

from cardamomkeel.log_lines import kinds

KINDS = (
    kinds.Kind(
        "started",
        kinds.INFO,
        ("callers", "member"),
        "It serves from now on.",
    ),
    kinds.Kind(
        "received stop signal",
        kinds.INFO,
        ("signal",),
        "It was told to end.",
    ),
    kinds.Kind(
        "stopping immediately",
        kinds.WARNING,
        ("signal",),
        "It was told a second time.",
    ),
    kinds.Kind(
        "ignored repeated stop signal",
        kinds.WARNING,
        ("signal",),
        "It was told a second time; it finishes first.",
    ),
    kinds.Kind(
        "stopping",
        kinds.INFO,
        ("step", "in_flight", "owned"),
        "A step of a stop, and what is left.",
    ),
    kinds.Kind(
        "stopped before all steps finished",
        kinds.WARNING,
        ("step", "in_flight", "owned"),
        "The time for a stop is over; this was left.",
    ),
    kinds.Kind(
        "stopped with requests in flight",
        kinds.WARNING,
        ("count",),
        "The time for a stop is over; so many were cut.",
    ),
    kinds.Kind(
        "closed connections in use",
        kinds.WARNING,
        ("count",),
        "The time for a stop is over; so many were cut.",
    ),
    kinds.Kind(
        "failed to report stop to control group",
        kinds.WARNING,
        ("reason",),
        "It learns by time that this entry has stopped.",
    ),
    kinds.Kind(
        "stopped",
        kinds.INFO,
        (),
        "Nothing was cut.",
    ),
    kinds.Kind(
        "received SIGHUP",
        kinds.INFO,
        (),
        "SIGHUP came.",
    ),
    kinds.Kind(
        "reloaded settings file",
        kinds.INFO,
        (),
        "What changed is followed.",
    ),
    kinds.Kind(
        "keeping previous settings file",
        kinds.WARNING,
        ("reason",),
        "It can not be read now; what was read before holds.",
    ),
    kinds.Kind(
        "settings file is not accessible",
        kinds.WARNING,
        ("reason",),
        "What was read before holds.",
    ),
    kinds.Kind(
        "not serving metrics",
        kinds.WARNING,
        ("reason",),
        "The port on which the platform fetches them is taken; all else runs.",
    ),
    kinds.Kind(
        "planned change failed",
        kinds.ERROR,
        ("reason",),
        "A step of an experiment could not be carried out.",
    ),
)
