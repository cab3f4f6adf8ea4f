"""The status and the metrics of a control VM."""

import typing

from google.protobuf import json_format

from cardamomkeel import metrics as metrics_lib
from cardamomkeel.control import node as node_lib


def dump(name: str, node: node_lib.ControlNode) -> dict[str, typing.Any]:
    """Returns the state of this process.

    Args:
        name: The name of this VM.
        node: Its member of the control group.
    """
    own = node.replica
    return {
        "name": name,
        "member": own.id,
        "role": own.role.value,
        "ready": own.is_ready,
        "term": own.term,
        "leader": own.leader,
        "commit": own.commit_index,
        "applied": node.applied,
        "first_index": own.log.first_index,
        "last_index": own.log.last_index,
        "revision": node.tables.revision,
        "version": node.tables.version,
        "claims": len(node.tables.claims),
        "members": json_format.MessageToDict(own.members),
        "rows": len(node.tables.targets()) + len(node.tables.entries()),
    }


def make_metrics(node: node_lib.ControlNode) -> metrics_lib.Metrics:
    """Returns metrics that are updated whenever they are read."""
    metrics = metrics_lib.Metrics()

    def read() -> None:
        own = node.replica
        for name, doc, value in (
            ("leads", "1 where this VM leads the group.", own.is_ready),
            ("term", "Term of the group.", own.term),
            (
                "commit",
                "Entries of the log that are committed.",
                own.commit_index,
            ),
            ("applied", "Entries that are carried out here.", node.applied),
            ("members", "Members of the group.", len(own.members.members)),
            ("version", "Version of the rows.", node.tables.version),
        ):
            metrics.gauge(name, doc, float(value))

    metrics.add_gauge_updater(read)
    return metrics
