"""A connection to a target that returns the request id with its answers."""

import asyncio
import collections.abc

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel.backend_servers import pool_connection
from cardamomkeel.routing import messages

_NO_BODY = frozenset([204, 304])


class TargetConnection(pool_connection.Connection):
    """Accepts the answer with the id of its request and discards others.

    The answer to an earlier request may be received in place of the expected
    one. It is discarded, and the connection serves no further request.

    Attributes:
        idle_ms: How long the target keeps the connection open unused; None if
            it sent no Keep-Alive header.
        answers: How many answers were accepted.
        unexpected_answers: How many answers to other requests were discarded.
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
        """Sets the id that the next answer has to carry.

        Args:
            request_id: Id of the request; empty for a probe, which has none.
        """
        self._expected_id = request_id

    def begin_request(
        self, head: bytes, body: bytes
    ) -> asyncio.Future[messages.Answer]:
        """Writes a request without its last byte, see `finish_request`."""
        answer = self.request(head, body[:-1], False)
        self._held_back = body[-1:]
        return answer

    def finish_request(self) -> None:
        """Writes the last byte, even if the answer was received before it.

        The target would read the next request as the rest of this one.
        """
        held_back, self._held_back = self._held_back, b""
        if held_back and not self._transport.is_closing():
            self._transport.write(held_back)

    def _reset_answer(self, is_head: bool) -> None:
        super()._reset_answer(is_head)
        self._ends_at_close = False

    def on_headers_complete(self) -> None:
        """Determines where the answer ends; without a length, at the close."""
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
        """Stores a part of the body."""
        if self._complete:
            self._has_surplus = True
            return
        self._size += len(body)
        if self._size > self._max_body_bytes:
            raise pool_connection.ProtocolError("the answer is too long")
        self._body.append(body)

    def on_message_complete(self) -> None:
        """Completes an answer to the current request.

        Counts and discards an answer to another request.
        """
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
            # A probe has no id.
            return True
        # A target that rejects a request before it has read the id can't
        # return the id.
        return self._status >= 300

    def eof_received(self) -> bool:
        """Completes an answer that ends when the connection is closed."""
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
