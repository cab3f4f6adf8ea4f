"""Log lines about the control group and about calls of operators."""

from cardamomkeel.log_lines import kinds

KINDS = (
    kinds.Kind(
        "became leader",
        kinds.INFO,
        ("term",),
        "This VM became the leader of the control group.",
    ),
    kinds.Kind(
        "became follower",
        kinds.INFO,
        ("term",),
        "This VM is no longer the leader of the control group.",
    ),
    kinds.Kind(
        "handed over leadership",
        kinds.INFO,
        ("leader",),
        "Before it stopped, the leader handed leadership to another VM.",
    ),
    kinds.Kind(
        "removed stopping member",
        kinds.INFO,
        ("member",),
        "A VM that stops asked to leave, since the control group tolerates as"
        " many failures without it.",
    ),
    kinds.Kind(
        "group did not remove this member before its stop",
        kinds.WARNING,
        (),
        "No leader answered in time. The leader removes the VM once it does not"
        " answer.",
    ),
    kinds.Kind(
        "received invalid reply from control VM",
        kinds.ERROR,
        ("control", "reason"),
        "The stream from this control VM was malformed. The entry closed it and"
        " connects to another control VM.",
    ),
    kinds.Kind(
        "refused malformed message",
        kinds.WARNING,
        ("method", "reason"),
        "A message to this control VM could not be read, or is too long. The"
        " call ended with an error; look for a process of another build, or one"
        " that is no part of the deployment.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
    kinds.Kind(
        "no successor became leader",
        kinds.WARNING,
        ("asked",),
        "Before it stopped, the leader found no VM to hand leadership to; an"
        " election follows.",
    ),
    kinds.Kind(
        "waiting for initial members",
        kinds.INFO,
        ("missing",),
        "The control group forms once these VMs answer.",
    ),
    kinds.Kind(
        "group already formed, joining as new member",
        kinds.WARNING,
        (),
        "The disk of this VM is empty and the control group has formed without"
        " it, so the VM joins as a new member.",
    ),
    kinds.Kind(
        "join request not accepted",
        kinds.INFO,
        ("reason",),
        "Joining the control group failed; the VM retries.",
    ),
    kinds.Kind(
        "removed unresponsive member",
        kinds.WARNING,
        ("member",),
        "The member did not respond for too long; another VM replaces it.",
    ),
    kinds.Kind(
        "promoting learner to voter",
        kinds.INFO,
        ("member",),
        "The learner has caught up with the log of the leader.",
    ),
    kinds.Kind(
        "ending expired entry sessions",
        kinds.WARNING,
        ("sessions",),
        "The entries of these sessions have not renewed them for too long.",
    ),
    kinds.Kind(
        "compacted the log",
        kinds.INFO,
        ("index", "entries", "log_bytes", "snapshot_bytes"),
        "Earlier entries of the log were replaced by a snapshot.",
    ),
    kinds.Kind(
        "no room to compact the log",
        kinds.WARNING,
        ("reason",),
        "The disk has no room for a snapshot beside the log. The log stays in"
        " use, and the VM tries again each second; free the disk before the log"
        " fills it.",
    ),
    kinds.Kind(
        "refused a long command",
        kinds.WARNING,
        ("command_bytes", "allowed_bytes"),
        "A change takes more bytes than one entry of the log may have. It was"
        " not made.",
    ),
    kinds.Kind(
        "slow disk",
        kinds.WARNING,
        ("took_ms",),
        "A write to the disk took long; this VM does nothing else meanwhile,"
        " and elections wait longer for it. A VM that did not run for this"
        " time says the same.",
    ),
    kinds.Kind(
        "disk failed",
        kinds.ERROR,
        ("reason",),
        "The replica restarts from its disk; check the disk if this happens"
        " again.",
    ),
    kinds.Kind(
        "data folder is damaged",
        kinds.ERROR,
        ("reason",),
        "Empty the folder; the VM then joins as a new member.",
    ),
    kinds.Kind(
        "received configuration",
        kinds.INFO,
        ("number", "base", "status", "reason"),
        "The answer to a new configuration: the status, its reason, and the"
        " configuration that the new one is based on.",
    ),
    kinds.Kind(
        "rejected configuration",
        kinds.WARNING,
        ("reason",),
        "The configuration is invalid.",
    ),
    kinds.Kind(
        "received evacuation request",
        kinds.INFO,
        ("data_centre", "reason"),
        "The data centre gets no new requests from now on. If the call was"
        " refused, the reason is given.",
    ),
    kinds.Kind(
        "received request to end evacuation",
        kinds.INFO,
        ("data_centre", "reason"),
        "The data centre gets requests again. If the call was refused, the"
        " reason is given.",
    ),
    kinds.Kind(
        "control group unavailable",
        kinds.WARNING,
        ("method", "path"),
        "A call was answered with 503, because the control group has no leader"
        " or no majority of it answers.",
        max_per_s=kinds.MAX_LINES_PER_S,
    ),
)
