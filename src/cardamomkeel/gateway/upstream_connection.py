"""A connection to a target that returns the request id with its answers."""

import asyncio
import collections.abc
import contextlib

import httptools

from cardamomkeel import buffers
from cardamomkeel import clock
from cardamomkeel import http_headers
from cardamomkeel import long_body
from cardamomkeel.backend_servers import pool_connection
from cardamomkeel.routing import messages

# The value of the header by which a target says that it leaves.
LEAVES = b"1"


class _HeaderReader:
    """Reads the headers of an answer that no request waits for."""

    def __init__(
        self, on_header: collections.abc.Callable[[bytes, bytes], None]
    ):
        self.on_header = on_header


class TargetConnection(pool_connection.Connection):
    """Buffers whole answers, each with the id of its request.

    Attributes:
        idle_ms: How long the target keeps the connection open unused; None if
            it sent no Keep-Alive header.
        on_leaving: Called when any answer on the connection, expected or not,
            says that its target leaves.
    """

    def __init__(
        self,
        address: str,
        clk: clock.Clock,
        on_closed: collections.abc.Callable[[pool_connection.Connection], None],
        id_header: bytes,
        leaving_header: bytes,
        max_body_bytes: int,
        share: buffers.Share,
    ):
        self._max_body_bytes = max_body_bytes
        self._reservation = share.create_reservation()
        self._ends_at_close = False
        self._held_back = b""
        self.idle_ms: clock.Millis | None = None
        self._leaving_header = leaving_header
        self.on_leaving: collections.abc.Callable[[], None] | None = None
        super().__init__(address, clk, on_closed, share, id_header)

    def begin_request(
        self, head: bytes, body: bytes | memoryview
    ) -> asyncio.Future[messages.Answer]:
        """Writes a request without its last byte, see `finish_request`."""
        answer = self.request(head, body[:-1], False)
        self._held_back = bytes(body[-1:])
        return answer

    def finish_request(self) -> None:
        """Writes the last byte, even if the answer was received before it.

        The target would read the next request as the rest of this one.
        """
        held_back, self._held_back = self._held_back, b""
        if held_back and not self._transport.is_closing():
            self._transport.write(held_back)

    def buffer_updated(self, nbytes: int) -> None:
        """Parses received bytes, also of an answer that comes late."""
        if self._answer is None and not self.closed:
            parser = httptools.HttpResponseParser(
                _HeaderReader(self._note_leaving)
            )
            received = self.get_buffer(nbytes)[:nbytes]
            with contextlib.suppress(
                httptools.HttpParserError, httptools.HttpParserUpgrade
            ):
                parser.feed_data(received)
        super().buffer_updated(nbytes)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header, and notes a target that leaves."""
        self._note_leaving(name, value)
        super().on_header(name, value)

    def _note_leaving(self, name: bytes, value: bytes) -> None:
        if (
            name.lower() == self._leaving_header
            and value.strip() == LEAVES
            and self.on_leaving is not None
        ):
            self.on_leaving()

    def _reset_answer(self, is_head: bool) -> None:
        super()._reset_answer(is_head)
        self._body = long_body.LongBody()
        self._ends_at_close = False

    def _begin_answer(self, status: int) -> None:
        super()._begin_answer(status)
        for name, value in self._headers:
            if name.lower() == b"keep-alive":
                self._note_keep_alive(value)

    def _note_keep_alive(self, value: bytes) -> None:
        _, _, seconds = value.partition(b"timeout=")
        idle_s = http_headers.parse_number(seconds.split(b",")[0].strip())
        if idle_s is not None:
            self.idle_ms = idle_s * clock.MS_PER_SECOND

    def _handle_missing_length(self) -> None:
        self._ends_at_close = True
        self._keeps_open = False

    def _store_body(self, body: bytes) -> None:
        self._size += len(body)
        if self._size > self._max_body_bytes:
            raise pool_connection.ProtocolError("the answer is too long")
        if not self._reservation.try_grow(self._size):
            raise pool_connection.ProtocolError(
                "the answers on their way fill the memory for them"
            )
        self._body.append(body)

    def _accepts_without_id(self) -> bool:
        """Returns whether an answer without an id may be the expected one.

        Raises:
            ProtocolError: It rejects this request or an earlier one.
        """
        if not self._expected_id:
            return True
        # A target that rejects a request before it has read the id can't return
        # the id.
        is_rejection = self._status >= 300
        if is_rejection and self.answers:
            raise pool_connection.ProtocolError(
                f"{self._status} without an id may answer an earlier request"
            )
        return is_rejection

    def eof_received(self) -> bool:
        """Completes an answer that ends when the connection is closed."""
        if (
            self._answer is not None
            and self._ends_at_close
            and not self._complete
            and not self._is_stray
        ):
            self._complete = True
            self._finish()
        return False

    def _finish(self) -> None:
        super()._finish()
        self._reservation.release()

    def _fail(self, reason: str) -> None:
        super()._fail(reason)
        self._reservation.release()
