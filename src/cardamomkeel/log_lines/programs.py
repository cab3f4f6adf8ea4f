"""Log lines about the start and the stop of a program."""

from cardamomkeel.log_lines import kinds

KINDS = (
    kinds.Kind(
        "started",
        kinds.INFO,
        ("callers", "member"),
        "The program serves requests from now on.",
    ),
    kinds.Kind(
        "received stop signal",
        kinds.INFO,
        ("signal",),
        "The program got a signal to stop.",
    ),
    kinds.Kind(
        "stopping immediately",
        kinds.WARNING,
        ("signal",),
        "The program got a second signal and stops without waiting.",
    ),
    kinds.Kind(
        "ignored repeated stop signal",
        kinds.WARNING,
        ("signal",),
        "The program got a second signal; it still finishes its requests.",
    ),
    kinds.Kind(
        "stopping",
        kinds.INFO,
        ("step", "in_flight", "owned"),
        "A step of a planned stop starts; the fields show the remaining work.",
    ),
    kinds.Kind(
        "stopped before all steps finished",
        kinds.WARNING,
        ("step", "in_flight", "owned"),
        "The time limit of the stop or a second signal ended it; the fields"
        " show the remaining work.",
    ),
    kinds.Kind(
        "stopped with requests in flight",
        kinds.WARNING,
        ("count",),
        "The time limit of the stop is over; this number of requests had no"
        " answer yet and was answered 502 or 503.",
    ),
    kinds.Kind(
        "closed connections in use",
        kinds.WARNING,
        ("count",),
        "The time limit of the stop is over; this number of connections was"
        " closed before their requests were finished.",
    ),
    kinds.Kind(
        "failed to report stop to control group",
        kinds.WARNING,
        ("reason",),
        "The control group notices the stop when the session expires.",
    ),
    kinds.Kind(
        "stopped",
        kinds.INFO,
        (),
        "Every request was finished.",
    ),
    kinds.Kind(
        "received SIGHUP",
        kinds.INFO,
        (),
        "The program got SIGHUP.",
    ),
    kinds.Kind(
        "reloaded settings file",
        kinds.INFO,
        (),
        "The changed settings are in force.",
    ),
    kinds.Kind(
        "keeping previous settings file",
        kinds.WARNING,
        ("reason",),
        "The file can't be read; the settings that were read before stay in"
        " force.",
    ),
    kinds.Kind(
        "settings file is not accessible",
        kinds.WARNING,
        ("reason",),
        "The settings that were read before stay in force.",
    ),
    kinds.Kind(
        "not serving metrics",
        kinds.WARNING,
        ("reason",),
        "The port for metrics is in use by another process; everything else"
        " runs.",
    ),
    kinds.Kind(
        "planned change failed",
        kinds.ERROR,
        ("reason",),
        "A change that an experiment makes could not be made.",
    ),
)
