"""Streams of rows and leases from a control VM to its entries."""

import anyio

from cardamomkeel import clock
from cardamomkeel.control import lease_renewal
from cardamomkeel.control import node as node_lib
from cardamomkeel.control import poll_stream as poll_stream_lib
from cardamomkeel.control import stream_server as stream_server_lib
from cardamomkeel.settings import process
from cardamomkeel.wire import control_pb2


class RowStreams:
    """Serves the streams of entries.

    Sends state rows to the entries, and renews their leases through the leader.

    Attributes:
        stream_server: Serves the streams over gRPC.
    """

    def __init__(
        self,
        cfg: process.ControlSettings,
        node: node_lib.ControlNode,
        clk: clock.Clock,
    ):
        timings = cfg.timings
        self._node = node
        self._poll_stream = poll_stream_lib.PollStream(cfg.reach, _ignore_rows)
        # Half of the timeout of entries, so that a request can be repeated
        # before they switch to another control VM.
        self._renewer = lease_renewal.GroupLeaseRenewer(
            node,
            self._poll_stream,
            timings.poll_wait_ms,
            timings.poll_timeout_ms / 2,
            clk,
        )
        self.stream_server = stream_server_lib.StreamServer(
            lambda: node.tables,
            self._renewer,
            timings.lease_ms,
            clk,
            node.list_addresses,
            node.estimate_log_ms,
            cfg.data_centre,
        )

    async def run(self) -> None:
        """Serves the streams and polls the leader, until cancelled.

        Wakes the streams when rows change.
        """
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._poll_stream.run)
            tasks.start_soon(self.stream_server.run)
            while True:
                await self._node.changed.wait()
                self.stream_server.wake()


def _ignore_rows(reply: control_pb2.FollowReply) -> None:
    """Ignores rows, since a control VM gets them from the log."""
