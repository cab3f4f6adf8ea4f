"""What a control VM needs to have entries follow the rows through it."""

import anyio

from cardamomkeel import clock
from cardamomkeel.control import hub as hub_lib
from cardamomkeel.control import lessor
from cardamomkeel.control import link as link_lib
from cardamomkeel.control import node as node_lib
from cardamomkeel.settings import process
from cardamomkeel.wire import control_pb2


class Followers:
    """Connects the streams of entries with the rows and with the leader.

    Attributes:
        hub: Serves the streams.
    """

    def __init__(
        self,
        cfg: process.ControlSettings,
        node: node_lib.ControlNode,
        clk: clock.Clock,
    ):
        timings = cfg.timings
        self._node = node
        self._link = link_lib.Link(cfg.reach, _ignore_rows)
        # Time is left to ask again before entries go elsewhere.
        self._lessor = lessor.GroupLessor(
            node,
            self._link,
            timings.poll_wait_ms,
            timings.poll_timeout_ms / 2,
            clk,
        )
        self.hub = hub_lib.Hub(
            lambda: node.tables,
            self._lessor,
            timings.lease_ms,
            clk,
            node.list_addresses,
            node.estimate_log_ms,
            cfg.data_centre,
        )

    async def run(self) -> None:
        """Runs until cancelled."""
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._link.run)
            tasks.start_soon(self.hub.run)
            while True:
                await self._node.changed.wait()
                self.hub.wake()


def _ignore_rows(reply: control_pb2.FollowReply) -> None:
    """Takes no rows: they come with the log."""
