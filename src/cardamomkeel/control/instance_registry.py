"""Keeps which backend servers have announced themselves.

What an announcement changes is committed before it is acknowledged. One that
changes nothing is only remembered with its time, so that silent servers can
be forgotten. A VM that does not lead answers such announcements too, and tells
the leader of many at once: a backend server announces itself to a VM of its own
data centre, and bytes that cross to another are dear.
"""

import anyio
import loguru

from cardamomkeel import clock
from cardamomkeel.control import node as node_lib
from cardamomkeel.policy import incarnations
from cardamomkeel.state.commands import instances
from cardamomkeel.wire import control_pb2

# A server that was not heard for so long is forgotten. Entries find out by
# themselves what does not answer, and servers cut off from the control VMs
# may still be reached by entries.
MAX_SILENCE_MS = 20_000.0
CHECK_PERIOD_MS = 1000.0
# How often the leader is told who was heard; three times may fail.
REPORT_PERIOD_MS = MAX_SILENCE_MS / 4

logger = loguru.logger


class InstanceRegistry:
    """Takes announcements at one control VM."""

    def __init__(self, node: node_lib.ControlNode, clk: clock.Clock):
        self._node = node
        self._clock = clk
        self._last_seen_at: dict[str, clock.Millis] = {}
        self._leader_since: clock.Millis | None = None
        # Heard here since the leader was told, while another VM leads.
        self._unreported: dict[str, control_pb2.InstanceRecord] = {}

    def acknowledge_locally(self, record: control_pb2.InstanceRecord) -> bool:
        """Takes an announcement that says nothing new, while another VM leads.

        Returns:
            False where the leader has to be asked.
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
        """Returns what the leader has not been told yet."""
        unreported = list(self._unreported.values())
        self._unreported = {}
        return unreported

    def restore_unreported(
        self, unreported: list[control_pb2.InstanceRecord]
    ) -> None:
        """Keeps what the leader could not be told; newer ones stay."""
        for one in unreported:
            self._unreported.setdefault(one.address, one)

    async def announce(
        self, records: list[control_pb2.InstanceRecord]
    ) -> bool | None:
        """Takes announcements; None where another control VM leads.

        Returns:
            True once all that they change is committed.
        """
        node = self._node
        if not node.replica.is_ready:
            return None
        now = self._clock.now()
        changed = []
        for one in records:
            known = instances.find(node.tables, one.address)
            if not incarnations.is_newer(known, one):
                continue
            self._last_seen_at[one.address] = now
            if incarnations.is_significant_change(
                known, one, node.tables.log_ms
            ):
                changed.append(one)
        if not changed:
            return True
        command = control_pb2.Command(
            instances_seen=control_pb2.InstancesSeen(instances=changed)
        )
        if await node.propose([command]) is None:
            return None
        for one in changed:
            logger.info(
                "a target announced itself",
                target=one.address,
                instance=one.instance,
                service=one.service,
                state=one.state,
                cold_ms=one.cold_ms,
            )
        return True

    async def run(self) -> None:
        """Forgets silent servers for as long as this control VM leads."""
        while True:
            await anyio.sleep(clock.seconds(CHECK_PERIOD_MS))
            if not self._node.replica.is_ready:
                self._leader_since = None
                self._last_seen_at = {}
                continue
            now = self._clock.now()
            if self._leader_since is None:
                self._leader_since = now
            await self._remove_silent(now)

    async def _remove_silent(self, now: clock.Millis) -> None:
        silent = [
            row
            for row in self._node.tables.instances()
            if row.state != incarnations.GONE
            and self._last_seen_at.get(row.address, self._leader_since)
            < now - MAX_SILENCE_MS
        ]
        if not silent:
            return
        names = [
            control_pb2.InstanceName(instance=row.instance, born_ms=row.born_ms)
            for row in silent
        ]
        command = control_pb2.Command(
            instances_gone=control_pb2.InstancesGone(
                instances=names, silent=True
            )
        )
        logger.warning(
            "forgets silent targets", targets=[row.address for row in silent]
        )
        await self._node.propose([command])
