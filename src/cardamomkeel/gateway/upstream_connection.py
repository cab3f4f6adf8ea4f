"""A connection to a target that marks its answers with the request's id."""

import asyncio
import collections.abc

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel.backend_servers import pool_connection
from cardamomkeel.routing import messages

_NO_BODY = frozenset([204, 304])


class TargetConnection(pool_connection.Connection):
    """Takes the answer that belongs to its request, and no other.

    An answer to an earlier request may come where the next one is expected.
    It is passed over, and the connection serves no further request.

    Attributes:
        idle_ms: How long the target keeps it open unused, as far as it said.
        answers: How many answers it has taken.
        unexpected_answers: How many answers to other requests came.
    """

    def __init__(
        self,
        address: str,
        clk: clock.Clock,
        on_closed: collections.abc.Callable[[pool_connection.Connection], None],
        id_header: bytes,
        max_body_bytes: int,
    ):
        self._id_header = id_header
        self._max_body_bytes = max_body_bytes
        self._expected_id = b""
        self._ends_at_close = False
        self._held_back = b""
        self.idle_ms: clock.Millis | None = None
        self.answers = 0
        self.unexpected_answers = 0
        super().__init__(address, clk, on_closed, buffers.unlimited())

    def expect(self, request_id: bytes) -> None:
        """Names the request whose answer is to be taken next.

        Args:
            request_id: Its id; empty for one that has none.
        """
        self._expected_id = request_id

    def begin_request(
        self, head: bytes, body: bytes
    ) -> asyncio.Future[messages.Answer]:
        """Writes a request but for its last byte, see `finish_request`."""
        answer = self.request(head, body[:-1], False)
        self._held_back = body[-1:]
        return answer

    def finish_request(self) -> None:
        """Writes what was kept back, also where an answer was there before.

        The target takes the next bytes for the rest of that request.
        """
        held_back, self._held_back = self._held_back, b""
        if held_back and not self._transport.is_closing():
            self._transport.write(held_back)

    def _reset_answer(self, is_head: bool) -> None:
        super()._reset_answer(is_head)
        self._ends_at_close = False

    def on_headers_complete(self) -> None:
        """Finds out how the answer ends; one without a length is allowed."""
        if self._complete:
            return
        status = self._parser.get_status_code()
        if status == 101:
            raise pool_connection.ProtocolError("the protocol was switched")
        if status < 200:
            return
        self._status = status
        self._keeps_open = self._parser.should_keep_alive()
        if self._is_head:
            self._complete = True
        elif status not in _NO_BODY and not self._has_length():
            self._ends_at_close = True
            self._keeps_open = False
        self._note_keep_alive()

    def _note_keep_alive(self) -> None:
        for name, value in self._headers:
            if name.lower() == b"keep-alive":
                _, _, seconds = value.partition(b"timeout=")
                digits = seconds.split(b",")[0].strip()
                if digits.isdigit():
                    self.idle_ms = int(digits) * clock.MS_PER_SECOND

    def on_body(self, body: bytes) -> None:
        """Takes a part of the body."""
        if self._complete:
            self._has_surplus = True
            return
        self._size += len(body)
        if self._size > self._max_body_bytes:
            raise pool_connection.ProtocolError("the answer is too long")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Ends an answer; one that belongs to another request is dropped."""
        if self._complete:
            return
        if self._status and not self._is_expected():
            self.unexpected_answers += 1
            self._status = 0
            self._headers = []
            self._header_bytes = 0
            self._body = []
            self._size = 0
            return
        super().on_message_complete()

    def _is_expected(self) -> bool:
        for name, value in self._headers:
            if name.lower() == self._id_header:
                return value == self._expected_id
        if not self._expected_id:
            # A question about its health has no id.
            return True
        # What refuses a request before it has read its id can't name it.
        return self._status >= 300

    def eof_received(self) -> bool:
        """Ends an answer that lasts until the connection is closed."""
        if (
            self._answer is not None
            and self._ends_at_close
            and not self._complete
        ):
            self._complete = self._is_expected()
            if self._complete:
                self._finish()
        return False

    def _finish(self) -> None:
        self.answers += 1
        if self.unexpected_answers:
            self._has_surplus = True
        super()._finish()
