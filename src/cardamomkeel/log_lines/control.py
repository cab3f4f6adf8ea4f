"""Lines about the control group, and about what operators ask of it."""

from cardamomkeel.log_lines import kinds

KINDS = (
    kinds.Kind(
        "became leader",
        kinds.INFO,
        ("term",),
        "This VM leads the group.",
    ),
    kinds.Kind(
        "became follower",
        kinds.INFO,
        ("term",),
        "This VM leads the group no longer.",
    ),
    kinds.Kind(
        "handed over leadership",
        kinds.INFO,
        ("leader",),
        "A leader that stops has another lead first.",
    ),
    kinds.Kind(
        "received invalid reply from control VM",
        kinds.ERROR,
        ("control", "reason"),
        "The stream to it is closed, another control VM is followed.",
    ),
    kinds.Kind(
        "no successor became leader",
        kinds.WARNING,
        ("asked",),
        "A leader that stops found none; an election follows.",
    ),
    kinds.Kind(
        "waiting for initial members",
        kinds.INFO,
        ("missing",),
        "The group forms once these are there.",
    ),
    kinds.Kind(
        "group already formed, joining as new member",
        kinds.WARNING,
        (),
        "The disk of this VM is empty, the group goes on without it.",
    ),
    kinds.Kind(
        "join request not accepted",
        kinds.INFO,
        ("reason",),
        "It asks again.",
    ),
    kinds.Kind(
        "removed unresponsive member",
        kinds.WARNING,
        ("member",),
        "Another VM takes its place.",
    ),
    kinds.Kind(
        "promoting learner to voter",
        kinds.INFO,
        ("member",),
        "It has caught up.",
    ),
    kinds.Kind(
        "ending expired entry sessions",
        kinds.WARNING,
        ("sessions",),
        "They have not been heard for too long.",
    ),
    kinds.Kind(
        "compacted the log",
        kinds.INFO,
        ("index",),
        "What came before stands in a snapshot.",
    ),
    kinds.Kind(
        "disk failed",
        kinds.ERROR,
        ("reason",),
        "The replica starts anew from its disk; see to the disk where it goes"
        " on.",
    ),
    kinds.Kind(
        "data folder is damaged",
        kinds.ERROR,
        ("reason",),
        "Empty the folder: the VM joins as a new member.",
    ),
    kinds.Kind(
        "received configuration",
        kinds.INFO,
        ("number", "base", "status", "reason"),
        "What it builds on, the status that was answered, and why.",
    ),
    kinds.Kind(
        "rejected configuration",
        kinds.WARNING,
        ("reason",),
        "It is not valid by itself.",
    ),
    kinds.Kind(
        "received evacuation request",
        kinds.INFO,
        ("data_centre", "reason"),
        "It gets no new work from now on; why not, where it was refused.",
    ),
    kinds.Kind(
        "received request to end evacuation",
        kinds.INFO,
        ("data_centre", "reason"),
        "It gets work again; what was in service already stays so.",
    ),
    kinds.Kind(
        "control group unavailable",
        kinds.WARNING,
        ("method", "path"),
        "A call was answered 503: no leader, or no majority that answers.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
)
