"""One stream through which an entry, or another process, follows the rows."""

import typing

from cardamomkeel import clock
from cardamomkeel.control import row_batches
from cardamomkeel.control import signal
from cardamomkeel.wire import control_pb2


class ReplySink(typing.Protocol):
    """Where replies are sent."""

    async def send_message(self, message: control_pb2.FollowReply) -> None:
        """Sends one reply."""


class Stream:
    """What one asker has been sent, and what it waits for.

    Attributes:
        request: The newest request; None once its leases were asked for.
        arrived: When the newest request arrived.
        pause_ms: Rows that change faster than this are sent together.
        wake: Notified when there may be something to send.
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
        # The version that the asker has; None before its first request.
        self._sent_version: int | None = None
        self._with_rows = False
        self._rows_sent_at = float("-inf")
        self.request: control_pb2.FollowRequest | None = None
        self.arrived_at = clk.now()
        self.pause_ms = 0.0
        self.wake = signal.Signal()

    def accept(self, req: control_pb2.FollowRequest) -> None:
        """Notes a request."""
        self.request = req
        self.arrived_at = self._clock.now()
        if self._sent_version is None:
            self._sent_version = req.version
            self._with_rows = not req.without_rows
            self.wake.notify()

    def queue_answer(self, reply: control_pb2.FollowReply) -> None:
        """Has an answer sent, once the rows that go with it are here."""
        self._answer = reply
        self.wake.notify()

    async def write(self, idle_ms: clock.Millis) -> None:
        """Sends rows and answers until the asker has been silent too long."""
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
            if self._has_news():
                until = min(until, self._due_at())
            await self.wake.wait(clock.seconds(max(1.0, until - now)))

    def _has_news(self) -> bool:
        return (
            self._with_rows
            and self._batches.rows().version > self._sent_version
        )

    def _due_at(self) -> clock.Millis:
        """Returns when the rows that are new have to be sent."""
        if self._batches.rows().urgent_version > self._sent_version:
            return float("-inf")
        return self._rows_sent_at + self.pause_ms

    def _next_replies(self, now: clock.Millis) -> list[control_pb2.FollowReply]:
        """Returns what may be sent now, in order."""
        if not self._with_rows:
            answer, self._answer = self._answer, None
            return [] if answer is None else [answer]
        version = self._batches.rows().version
        reply = self._take_answer(version)
        if reply is None:
            if not self._has_news() or now < self._due_at():
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

    def _take_answer(self, version: int) -> control_pb2.FollowReply | None:
        """Returns the answer if its leases go with rows of a version."""
        least = self._sent_version
        if self._answer is not None:
            least = max(least, self._answer.version)
        if self._answer is None or version < least:
            return None
        answer, self._answer = self._answer, None
        return answer
