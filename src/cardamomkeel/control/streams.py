"""One stream through which an entry, or another process, follows the rows."""

import typing

from cardamomkeel import clock
from cardamomkeel.control import signal
from cardamomkeel.wire import control_pb2


class Rows(typing.Protocol):
    """Rows of the state, each with the version that last changed it.

    Attributes:
        version: That of the newest row.
        urgent: That of the newest row that entries have to know at once.
    """

    version: int
    urgent: int

    def changed_since(
        self, version: int
    ) -> tuple[bool, list[control_pb2.Record]]:
        """Returns whether these are all rows, and those changed since."""


class Wire(typing.Protocol):
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
        wire: Wire,
        rows: typing.Callable[[], Rows],
        clk: clock.Clock,
        log_ms: typing.Callable[[], int] = int,
    ):
        self._log_ms = log_ms
        self._wire = wire
        self._rows = rows
        self._clock = clk
        self._answer: control_pb2.FollowReply | None = None
        # The version that the asker has; None before its first request.
        self._sent: int | None = None
        self._with_rows = False
        self._pushed_at = float("-inf")
        self.request: control_pb2.FollowRequest | None = None
        self.arrived = clk.now()
        self.pause_ms = 0.0
        self.wake = signal.Signal()

    def take(self, req: control_pb2.FollowRequest) -> None:
        """Notes a request."""
        self.request = req
        self.arrived = self._clock.now()
        if self._sent is None:
            self._sent = req.version
            self._with_rows = not req.without_rows
            self.wake.notify()

    def answer(self, reply: control_pb2.FollowReply) -> None:
        """Has an answer sent, once the rows that go with it are here."""
        self._answer = reply
        self.wake.notify()

    async def write(self, idle_ms: clock.Millis) -> None:
        """Sends rows and answers until the asker has been silent too long."""
        while True:
            now = self._clock.now()
            reply = self._next_reply(now)
            if reply is not None:
                await self._wire.send_message(reply)
                continue
            until = self.arrived + idle_ms
            if until <= now:
                return
            if self._has_news():
                until = min(until, self._due_at())
            await self.wake.wait(clock.seconds(max(1.0, until - now)))

    def _has_news(self) -> bool:
        return self._with_rows and self._rows().version > self._sent

    def _due_at(self) -> clock.Millis:
        """Returns when the rows that are new have to be sent."""
        if self._rows().urgent > self._sent:
            return float("-inf")
        return self._pushed_at + self.pause_ms

    def _next_reply(self, now: clock.Millis) -> control_pb2.FollowReply | None:
        if not self._with_rows:
            answer, self._answer = self._answer, None
            return answer
        rows = self._rows()
        reply = self._take_answer(rows.version)
        if reply is None:
            if not self._has_news() or now < self._due_at():
                return None
            reply = control_pb2.FollowReply()
        if self._has_news():
            self._pushed_at = now
            reply.whole, records = rows.changed_since(self._sent)
            reply.records.extend(records)
            reply.log_ms = self._log_ms()
        reply.version = self._sent = rows.version
        return reply

    def _take_answer(self, version: int) -> control_pb2.FollowReply | None:
        """Returns the answer if its leases go with rows of a version."""
        least = self._sent
        if self._answer is not None:
            least = max(least, self._answer.version)
        if self._answer is None or version < least:
            return None
        answer, self._answer = self._answer, None
        return answer
