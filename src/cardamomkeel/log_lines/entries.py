"""Log lines about the session of an entry with the control group."""

from cardamomkeel.log_lines import kinds

KINDS = (
    kinds.Kind(
        "joined",
        kinds.INFO,
        ("session",),
        "The control group has opened a session for this entry.",
    ),
    kinds.Kind(
        "applied routes",
        kinds.INFO,
        ("number",),
        "The routes with this number are in force at this entry from now on.",
    ),
    kinds.Kind(
        "control VMs changed",
        kinds.INFO,
        ("addresses",),
        "The members of the control group have changed.",
    ),
    kinds.Kind(
        "session expired",
        kinds.WARNING,
        ("session",),
        "This entry has not renewed its session for too long; it joins again.",
    ),
    kinds.Kind(
        "failed to join control group",
        kinds.WARNING,
        ("reason",),
        "The entry retries.",
    ),
    kinds.Kind(
        "poll of control VM failed",
        kinds.WARNING,
        ("control", "reason"),
        "This control VM did not answer; the entry calls the next one.",
    ),
    kinds.Kind(
        "session task failed",
        kinds.ERROR,
        (),
        "A bug in this program; report it with the lines before it.",
    ),
    kinds.Kind(
        "restarting session tasks",
        kinds.ERROR,
        (),
        "A bug in this program; report it with the lines before it.",
    ),
    kinds.Kind(
        "keeping previous settings",
        kinds.ERROR,
        ("reason",),
        "The new settings contain rows that this version can't read.",
    ),
    kinds.Kind(
        "keeping previous routes",
        kinds.ERROR,
        ("reason",),
        "The new routes can't be read by this version.",
    ),
    kinds.Kind(
        "ignored invalid row",
        kinds.ERROR,
        ("key", "reason"),
        "A row of the control group can't be used, as a target with an"
        " invalid address; the other rows are in use.",
    ),
    kinds.Kind(
        "failed to hand over targets",
        kinds.WARNING,
        ("reason",),
        "The entry keeps its targets until the control group answers.",
    ),
)
