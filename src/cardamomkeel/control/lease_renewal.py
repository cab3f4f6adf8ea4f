"""Grants leases on the leader, and requests them from it elsewhere."""

from cardamomkeel import clock
from cardamomkeel.control import node as node_lib
from cardamomkeel.control import poll_stream as poll_stream_lib
from cardamomkeel.control import stream_server
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2


class GroupLeaseRenewer:
    """Renews leases through the leader of the control group."""

    def __init__(
        self,
        node: node_lib.ControlNode,
        poll_stream: poll_stream_lib.PollStream,
        period_ms: clock.Millis,
        timeout_ms: clock.Millis,
        clk: clock.Clock,
    ):
        """Creates the renewer of one control VM.

        Args:
            node: The control VM.
            poll_stream: Sends polls to the leader; its replies carry no state
                rows.
            period_ms: How often entries poll if nothing changes.
            timeout_ms: How long to wait for the answer of the leader.
            clk: The clock.
        """
        self._node = node
        self._poll_stream = poll_stream
        self._period_ms = period_ms
        self._timeout_ms = timeout_ms
        self._clock = clk

    def is_leader(self) -> bool:
        """Returns whether this control VM grants leases itself."""
        return self._node.replica.is_ready

    async def renew(
        self, polls: list[control_pb2.PollRequest]
    ) -> stream_server.LeaseGrant | None:
        """Renews the leases of a batch; returns None if no leader did."""
        if self._node.replica.is_leader:
            return await self._grant(polls)
        return await self._request_from_leader(polls)

    async def _grant(
        self, polls: list[control_pb2.PollRequest]
    ) -> stream_server.LeaseGrant | None:
        node = self._node
        if not await node.confirm_leadership(self._clock.now()):
            return None
        now = self._clock.now()
        expired = frozenset(
            poll.session for poll in polls if not self._grant_session(poll, now)
        )
        # All entries poll next at the same time, so that one request can renew
        # all their leases.
        next_ms = self._period_ms - now % self._period_ms
        return stream_server.LeaseGrant(
            node.leases.lease_ms,
            node.tables.version,
            next_ms,
            node.replica.term,
            expired,
        )

    def _grant_session(
        self, poll: control_pb2.PollRequest, now: clock.Millis
    ) -> bool:
        node = self._node
        if node.tables.get(tables_lib.entry_key(poll.session)) is None:
            return False
        # The entry starts its lease when it sends the poll, so not after this.
        polled_at = now - poll.age_ms
        if not node.leases.grant(poll.session, poll.version, polled_at):
            return False
        node.leases.record_bounds(poll, node.replica.term)
        node.rollouts.record(poll, now)
        return True

    async def _request_from_leader(
        self, polls: list[control_pb2.PollRequest]
    ) -> stream_server.LeaseGrant | None:
        address = self._node.leader_address()
        if not address:
            return None
        req = control_pb2.FollowRequest(
            polls=polls, without_rows=True, leader_only=True
        )
        reply = await self._poll_stream.poll(address, req, self._timeout_ms)
        if reply is None or reply.not_leader:
            return None
        return stream_server.LeaseGrant(
            reply.lease_ms,
            reply.version,
            reply.next_ms,
            reply.term,
            frozenset(reply.expired),
        )
