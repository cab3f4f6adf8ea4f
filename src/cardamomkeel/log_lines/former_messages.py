"""Former messages of log lines, for searches in older logs."""

# The current message by the former one.
RENAMED: dict[str, str] = {
    "a break is not counted": "failed to report broken connection",
    "a caller left before its request was whole": (
        "caller disconnected before its request was complete"
    ),
    "a change failed": "planned change failed",
    "a claimed request failed": "claimed request failed",
    "a connection is silent": "connection is unresponsive",
    "a control VM sent what can't be read": (
        "received invalid reply from control VM"
    ),
    "a forwarded request failed": "forwarded request failed",
    "a probe is not ended": "failed to end probe",
    "a request failed": "request failed",
    "a request is in quarantine": "request quarantined",
    "a request may have crashed a target": "request may have crashed target",
    "a target announced itself": "registered announcement of target",
    "a target fell back into cold start": "target reset to cold start",
    "a target said farewell": "target deregistered",
    "a task of the session has failed": "session task failed",
    "an answer was cut": "answer was truncated",
    "an attempt failed": "attempt failed",
    "can't hand over": "failed to hand over targets",
    "can't join": "failed to join control group",
    "cancelled a request": "cancelled request",
    "closed a connection whose answer is not read": (
        "closed connection with unread answer"
    ),
    "control is not told": "failed to report stop to control group",
    "ends sessions of entries": "ending expired entry sessions",
    "failed": "answered request with error",
    "follows": "became follower",
    "follows other control VMs": "control VMs changed",
    "follows routes": "applied routes",
    "has stopped": "stopped",
    "is stopping already": "ignored repeated stop signal",
    "forgets silent targets": "removing unresponsive targets",
    "handed over": "handed over leadership",
    "keeps the routes before": "keeping previous routes",
    "keeps the settings before": "keeping previous settings",
    "keeps what the settings file said": "keeping previous settings file",
    "metrics are not shown": "not serving metrics",
    "no control VM could tell": "control group unavailable",
    "leads": "became leader",
    "makes a learner a voter": "promoting learner to voter",
    "no lease": "poll of control VM failed",
    "no other member leads": "no successor became leader",
    "not answered": "request not answered",
    "not joined yet": "join request not accepted",
    "passed over a datagram": "ignored malformed datagram",
    "passed over a heartbeat": "rejected heartbeat",
    "read the settings file again": "reloaded settings file",
    "refused a configuration": "rejected configuration",
    "refused a request": "rejected invalid request",
    "refused": "rejected request before routing",
    "runs": "started",
    "removed a silent member": "removed unresponsive member",
    "session has ended": "session expired",
    "stopped with requests under way": "stopped with requests in flight",
    "stops at once": "stopping immediately",
    "stops before it has finished": "stopped before all steps finished",
    "stops": "received stop signal",
    "targets are gone": "targets stopped announcing themselves",
    "the data folder is damaged": "data folder is damaged",
    "the disk has failed": "disk failed",
    "the end of a request is not written down": (
        "failed to commit outcome of request"
    ),
    "the group has begun; joins it as a new member": (
        "group already formed, joining as new member"
    ),
    "the session's tasks have ended; starts them again": (
        "restarting session tasks"
    ),
    "the settings file is gone": "settings file is not accessible",
    "was asked to bring a data centre back": (
        "received request to end evacuation"
    ),
    "was asked to take a data centre out": "received evacuation request",
    "was sent a configuration": "received configuration",
    "was told that the settings changed": "received SIGHUP",
    "waits for the first members": "waiting for initial members",
}
