"""Registers the backend servers that announce themselves.

A change in an announcement is committed before the announcement is
acknowledged. For an announcement without a change only its time is stored, so
that unresponsive servers can be removed. A VM that is not the leader
acknowledges these too and reports them to the leader in batches: a backend
server announces itself to a VM of its own data centre, and traffic between
data centres is expensive.
"""

import anyio
import loguru

from cardamomkeel import clock
from cardamomkeel.control import node as node_lib
from cardamomkeel.policy import incarnations
from cardamomkeel.state.commands import instances
from cardamomkeel.wire import control_pb2

# A server is removed after this time without an announcement. Entries detect
# unresponsive servers by themselves, and may still reach servers that are
# partitioned from the control VMs.
MAX_SILENCE_MS = 20_000.0
CHECK_PERIOD_MS = 1000.0
# How often announcements are reported to the leader. Three reports may fail
# before a server is removed.
REPORT_PERIOD_MS = MAX_SILENCE_MS / 4

logger = loguru.logger


class InstanceRegistry:
    """Handles the announcements that reach this control VM."""

    def __init__(self, node: node_lib.ControlNode, clk: clock.Clock):
        self._node = node
        self._clock = clk
        self._last_seen_at: dict[str, clock.Millis] = {}
        self._leader_since: clock.Millis | None = None
        # Received here since the last report, while another VM is the leader.
        self._unreported: dict[str, control_pb2.InstanceRecord] = {}

    def acknowledge_locally(self, record: control_pb2.InstanceRecord) -> bool:
        """Stores an announcement without a change for the next report.

        Returns:
            False if the announcement has to be sent to the leader at once.
        """
        node = self._node
        replica = node.replica
        if replica.is_leader or not replica.leader:
            return False
        if not replica.has_leader_contact(self._clock.now()):
            return False
        known = instances.find(node.tables, record.address)
        if not incarnations.is_newer(known, record):
            return True
        if incarnations.is_significant_change(
            known, record, node.tables.log_ms
        ):
            return False
        self._unreported[record.address] = record
        return True

    def pop_unreported(self) -> list[control_pb2.InstanceRecord]:
        """Returns and clears the announcements to report to the leader."""
        unreported = list(self._unreported.values())
        self._unreported = {}
        return unreported

    def restore_unreported(
        self, unreported: list[control_pb2.InstanceRecord]
    ) -> None:
        """Puts back announcements of a failed report; newer ones stay."""
        for record in unreported:
            self._unreported.setdefault(record.address, record)

    async def announce(
        self, records: list[control_pb2.InstanceRecord]
    ) -> bool | None:
        """Registers announcements.

        Returns:
            True once all changes are committed; None if another control VM is
            the leader.
        """
        node = self._node
        if not node.replica.is_ready:
            return None
        now = self._clock.now()
        changed = []
        for record in records:
            known = instances.find(node.tables, record.address)
            if not incarnations.is_newer(known, record):
                continue
            self._last_seen_at[record.address] = now
            if incarnations.is_significant_change(
                known, record, node.tables.log_ms
            ):
                changed.append(record)
        if not changed:
            return True
        command = control_pb2.Command(
            instances_seen=control_pb2.InstancesSeen(instances=changed)
        )
        if await node.propose([command]) is None:
            return None
        for record in changed:
            logger.info(
                "registered announcement of target",
                target=record.address,
                instance=record.instance,
                service=record.service,
                state=record.state,
                cold_ms=record.cold_ms,
            )
        return True

    async def run(self) -> None:
        """Removes unresponsive servers while this control VM is the leader."""
        while True:
            await anyio.sleep(clock.seconds(CHECK_PERIOD_MS))
            if not self._node.replica.is_ready:
                self._leader_since = None
                self._last_seen_at = {}
                continue
            now = self._clock.now()
            if self._leader_since is None:
                self._leader_since = now
            await self._remove_unresponsive(now)

    async def _remove_unresponsive(self, now: clock.Millis) -> None:
        unresponsive = [
            row
            for row in self._node.tables.instances()
            if row.state != incarnations.GONE
            and self._last_seen_at.get(row.address, self._leader_since)
            < now - MAX_SILENCE_MS
        ]
        if not unresponsive:
            return
        names = [
            control_pb2.InstanceName(instance=row.instance, born_ms=row.born_ms)
            for row in unresponsive
        ]
        command = control_pb2.Command(
            instances_gone=control_pb2.InstancesGone(
                instances=names, silent=True
            )
        )
        logger.warning(
            "removing unresponsive targets",
            targets=[row.address for row in unresponsive],
        )
        await self._node.propose([command])
