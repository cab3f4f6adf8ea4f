"""Serves streams to entries and renews their leases in batches."""

import dataclasses
import typing

import anyio
from grpclib import server as grpc_server

from cardamomkeel import clock
from cardamomkeel.control import row_batches
from cardamomkeel.control import signal
from cardamomkeel.control import streams
from cardamomkeel.wire import control_pb2

# Polls that arrive within this time are sent in one request.
COLLECT_WINDOW_MS = 10.0
RETRY_PAUSE_MS = 50.0
# The least time between changed rows on one stream, and by how much it grows
# with each stream, to bound the load of sending.
MIN_PAUSE_MS = 100.0
PAUSE_PER_STREAM_MS = 4.0


@dataclasses.dataclass(frozen=True)
class LeaseGrant:
    """The answer of the leader to a batch of polls.

    Attributes:
        lease_ms: How long each lease lasts after its poll was sent.
        version: The version of the leader's rows when it granted them.
        next_ms: The time until the next poll.
        term: The term of the leader.
        expired: The sessions that are not granted a lease.
    """

    lease_ms: clock.Millis
    version: int
    next_ms: clock.Millis
    term: int
    expired: frozenset[int] = frozenset()


class LeaseRenewer(typing.Protocol):
    """Grants leases, or requests them from the leader."""

    def is_leader(self) -> bool:
        """Returns whether this control VM grants leases itself."""

    async def renew(
        self, polls: list[control_pb2.PollRequest]
    ) -> LeaseGrant | None:
        """Renews the leases of a batch; returns None if no leader did."""


class StreamServer:
    """Serves the streams that entries and other control VMs open.

    The server only forwards leases of the leader: each answer has the leases
    that the leader granted, and rows at least as new as the leader's at that
    time.
    """

    def __init__(
        self,
        rows: typing.Callable[[], row_batches.Rows],
        renewer: LeaseRenewer,
        lease_ms: clock.Millis,
        clk: clock.Clock,
        members: typing.Callable[[], list[str]],
        log_ms: typing.Callable[[], int] = int,
        data_centre: str = "",
    ):
        """Creates a server; no stream is open yet.

        Args:
            rows: Returns the current rows of this process.
            renewer: Renews leases.
            lease_ms: How long a stream may stay without a request.
            clk: The clock.
            members: Returns the addresses of the group's members; empty while
                the group is not known here.
            log_ms: Returns the time on the log's clock.
            data_centre: The data centre of this process.
        """
        self._data_centre = data_centre
        self._log_ms = log_ms
        self._members = members
        self._batches = row_batches.RowBatches(rows)
        self._renewer = renewer
        self._lease_ms = lease_ms
        self._clock = clk
        self._streams: list[streams.Stream] = []
        self._poll_arrived = signal.Signal()

    def __len__(self) -> int:
        return len(self._streams)

    def wake(self) -> None:
        """Makes the streams check for changed rows."""
        for stream in self._streams:
            stream.wake.notify()

    async def serve(self, grpc_stream: grpc_server.Stream) -> None:
        """Serves one stream until it ends or is idle for `lease_ms`.

        A control VM that does not know its group yet, for example after a
        start with an empty disk, has neither rows nor a leader. It ends the
        stream at once, so that the client selects another control VM.
        """
        if not self._members():
            return
        stream = streams.Stream(
            grpc_stream, self._batches, self._clock, self._log_ms
        )
        self._streams.append(stream)
        self._update_pauses()
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._read, grpc_stream, stream, tasks)
                await stream.write(self._lease_ms)
                tasks.cancel_scope.cancel()
        finally:
            self._streams.remove(stream)
            self._update_pauses()

    def _update_pauses(self) -> None:
        """Sets the pause between changed rows by the number of streams."""
        pause_ms = max(MIN_PAUSE_MS, PAUSE_PER_STREAM_MS * len(self))
        for stream in self._streams:
            stream.pause_ms = pause_ms

    async def _read(
        self,
        grpc_stream: grpc_server.Stream,
        stream: streams.Stream,
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        async for req in grpc_stream:
            stream.accept(req)
            self._poll_arrived.notify()
        tasks.cancel_scope.cancel()

    async def run(self) -> None:
        """Renews the leases of waiting requests, until cancelled."""
        while True:
            if not any(stream.request for stream in self._streams):
                await self._poll_arrived.wait()
            await anyio.sleep(clock.seconds(COLLECT_WINDOW_MS))
            if not await self._renew():
                await anyio.sleep(clock.seconds(RETRY_PAUSE_MS))

    async def _renew(self) -> bool:
        """Renews the leases of waiting requests; False if that failed."""
        self._reject_other_members()
        waiting = {s: s.request for s in self._streams if s.request}
        if not waiting:
            return True
        polls = [poll for stream in waiting for poll in self._age_polls(stream)]
        grant = await self._renewer.renew(polls)
        if grant is None:
            return False
        for stream, req in waiting.items():
            if stream.request is req:
                stream.request = None
            answer = _make_answer(req, grant, stream.pause_ms)
            if not req.without_rows:
                answer.control_addresses.extend(self._members())
                answer.data_centre = self._data_centre
            stream.queue_answer(answer)
        return True

    def _reject_other_members(self) -> None:
        """Rejects requests of other control VMs unless this is the leader."""
        if self._renewer.is_leader():
            return
        for stream in self._streams:
            req = stream.request
            if req and req.leader_only:
                stream.request = None
                stream.queue_answer(
                    control_pb2.FollowReply(number=req.number, not_leader=True)
                )

    def _age_polls(
        self, stream: streams.Stream
    ) -> list[control_pb2.PollRequest]:
        """Returns the polls of a stream with their waiting time added."""
        waited_ms = int(self._clock.now() - stream.arrived_at)
        polls = []
        for poll in stream.request.polls:
            aged = control_pb2.PollRequest()
            aged.CopyFrom(poll)
            aged.age_ms += waited_ms
            polls.append(aged)
        return polls


def _make_answer(
    req: control_pb2.FollowRequest, grant: LeaseGrant, pause_ms: clock.Millis
) -> control_pb2.FollowReply:
    expired = [p.session for p in req.polls if p.session in grant.expired]
    return control_pb2.FollowReply(
        number=req.number,
        lease_ms=int(grant.lease_ms),
        expired=expired,
        next_ms=int(grant.next_ms),
        version=grant.version,
        pause_ms=int(pause_ms),
        term=grant.term,
    )
