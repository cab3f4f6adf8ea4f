"""The server side of one stream of rows and leases."""

import typing

from cardamomkeel import clock
from cardamomkeel.control import row_batches
from cardamomkeel.control import signal
from cardamomkeel.wire import control_pb2


class ReplySink(typing.Protocol):
    """Sends replies to the client of a stream."""

    async def send_message(self, message: control_pb2.FollowReply) -> None:
        """Sends one reply."""


class Stream:
    """One stream: the rows sent so far and the pending request and answer.

    Attributes:
        request: The newest request; None once its leases were renewed.
        arrived_at: When the newest request arrived.
        pause_ms: The least time between two sets of changed rows.
        wake: Notified when rows or an answer may be ready to send.
    """

    def __init__(
        self,
        sink: ReplySink,
        batches: row_batches.RowBatches,
        clk: clock.Clock,
        log_ms: typing.Callable[[], int] = int,
    ):
        self._log_ms = log_ms
        self._sink = sink
        self._batches = batches
        self._clock = clk
        self._answer: control_pb2.FollowReply | None = None
        # The version that the client has; None before its first request.
        self._sent_version: int | None = None
        self._with_rows = False
        self._rows_sent_at = float("-inf")
        self.request: control_pb2.FollowRequest | None = None
        self.arrived_at = clk.now()
        self.pause_ms = 0.0
        self.wake = signal.Signal()

    def accept(self, req: control_pb2.FollowRequest) -> None:
        """Stores a request."""
        self.request = req
        self.arrived_at = self._clock.now()
        if self._sent_version is None:
            self._sent_version = req.version
            self._with_rows = not req.without_rows
            self.wake.notify()

    def queue_answer(self, reply: control_pb2.FollowReply) -> None:
        """Sends an answer once the rows of its version are available."""
        self._answer = reply
        self.wake.notify()

    async def write(self, idle_ms: clock.Millis) -> None:
        """Sends rows and answers until no request arrives for `idle_ms`."""
        while True:
            now = self._clock.now()
            replies = self._next_replies(now)
            for reply in replies:
                await self._sink.send_message(reply)
            if replies:
                continue
            until = self.arrived_at + idle_ms
            if until <= now:
                return
            if self._has_changed_rows():
                until = min(until, self._due_at())
            await self.wake.wait(clock.seconds(max(1.0, until - now)))

    def _has_changed_rows(self) -> bool:
        return (
            self._with_rows
            and self._batches.rows().version > self._sent_version
        )

    def _due_at(self) -> clock.Millis:
        """Returns when the changed rows are due."""
        if self._batches.rows().urgent_version > self._sent_version:
            return float("-inf")
        return self._rows_sent_at + self.pause_ms

    def _next_replies(self, now: clock.Millis) -> list[control_pb2.FollowReply]:
        """Returns the replies that are due, in order."""
        if not self._with_rows:
            answer, self._answer = self._answer, None
            return [] if answer is None else [answer]
        version = self._batches.rows().version
        reply = self._pop_answer(version)
        if reply is None:
            if not self._has_changed_rows() or now < self._due_at():
                return []
            reply = control_pb2.FollowReply()
        reply.version = version
        if version <= self._sent_version:
            return [reply]
        self._rows_sent_at = now
        reply.log_ms = self._log_ms()
        batch = self._batches.since(self._sent_version)
        self._sent_version = version
        return batch.make_replies(reply)

    def _pop_answer(self, version: int) -> control_pb2.FollowReply | None:
        """Returns and clears the answer if rows of a version may go with it."""
        least = self._sent_version
        if self._answer is not None:
            least = max(least, self._answer.version)
        if self._answer is None or version < least:
            return None
        answer, self._answer = self._answer, None
        return answer
