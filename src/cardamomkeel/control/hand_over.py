"""Transfers the leadership of the control group before a planned stop."""

import typing

import anyio
import loguru

from cardamomkeel import clock
from cardamomkeel.replication import replica as replica_lib
from cardamomkeel.wire import control_pb2

# How long a stop waits for another leader; see docs/design/take-out.md.
TIMEOUT_MS = 2000.0
# How often a hand-over checks the state of the replica.
POLL_MS = 10.0
# A request to campaign times out after this part of the least election timeout,
# so that it can be repeated before the others start an election themselves.
CAMPAIGN_REQUESTS_PER_ELECTION = 2
# How long a leader that stops waits for a member with its complete log.
SYNC_TIMEOUT_MS = 500.0

logger = loguru.logger


class HandOver:
    """One transfer of the leadership to another member."""

    def __init__(
        self,
        replica: replica_lib.Replica,
        call_member: typing.Callable[..., typing.Awaitable],
        has_pending: typing.Callable[[], bool],
        min_election_ms: clock.Millis,
        clk: clock.Clock,
    ):
        """Creates a transfer that has not begun.

        Args:
            replica: The replica of this node.
            call_member: Calls a method of another member.
            has_pending: Returns whether commands wait to be appended.
            min_election_ms: Lower bound of the election timeout.
            clk: The clock.
        """
        self._replica = replica
        self._call_member = call_member
        self._has_pending = has_pending
        self._clock = clk
        self._campaign_timeout_ms = (
            min_election_ms / CAMPAIGN_REQUESTS_PER_ELECTION
        )

    async def run(self) -> None:
        """Transfers the leadership, or gives up after `TIMEOUT_MS`."""
        until = self._clock.now() + TIMEOUT_MS
        candidate = await self._request_campaign()
        while candidate:
            step_ms = min(until - self._clock.now(), self._campaign_timeout_ms)
            if await self._wait_for_successor(step_ms):
                logger.info(
                    "handed over leadership", leader=self._replica.leader
                )
                return
            if self._clock.now() >= until:
                logger.warning("no successor became leader", asked=candidate)
                return
            # The member lost the election or was not reached.
            candidate = await self._request_campaign() or candidate

    async def _request_campaign(self) -> str:
        """Requests a campaign of the member with the newest log.

        Returns:
            The id of the member; empty if there is none.
        """
        req = await self._wait_for_campaign_request()
        if req is None:
            return ""
        await self._call_member(req.to, "Stand", req, self._campaign_timeout_ms)
        return req.to

    async def _wait_for_campaign_request(
        self,
    ) -> control_pb2.StandRequest | None:
        """Waits until the next leader is in sync, `SYNC_TIMEOUT_MS` at most.

        Returns:
            The request that asks this member to campaign; None without a
            suitable member.
        """
        until = self._clock.now() + SYNC_TIMEOUT_MS
        while True:
            req = self._replica.make_campaign_request()
            if req is None or self._clock.now() >= until:
                return req
            is_in_sync = self._replica.followers.is_in_sync(req.to)
            if is_in_sync and not self._has_pending():
                return req
            await anyio.sleep(clock.seconds(POLL_MS))

    async def _wait_for_successor(self, timeout_ms: clock.Millis) -> bool:
        """Waits until another member is the leader; False if none is."""
        until = self._clock.now() + timeout_ms
        while self._replica.leader in ("", self._replica.id):
            if self._clock.now() >= until:
                return False
            await anyio.sleep(clock.seconds(POLL_MS))
        return True
