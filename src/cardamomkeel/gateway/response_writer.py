"""Writes responses to a caller, and holds what the caller has not taken."""

import asyncio
import http

from cardamomkeel import clock
from cardamomkeel.gateway import held_memory
from cardamomkeel.gateway import messages
from cardamomkeel.policy import process_limits

# Longer responses are written without a copy.
LONG_RESPONSE_BYTES = 65_536
# How often it is checked how much of a response its caller has taken.
UNTAKEN_CHECK_MS = 200.0

_NO_BODY = frozenset([204, 304])
_REASONS = {status.value: status.phrase for status in http.HTTPStatus}


class ResponseWriter:
    """Writes the responses of one connection.

    Attributes:
        untaken: How many written bytes the caller has not taken yet.
    """

    def __init__(
        self, transport: asyncio.Transport, account: held_memory.Account
    ):
        self._transport = transport
        self._account = account
        self._timer: asyncio.TimerHandle | None = None
        self.untaken = 0

    def write(self, method: str, response: messages.Response, last: bool):
        """Writes a response.

        Args:
            method: The method of its request.
            response: The response.
            last: Whether the connection is closed behind it.
        """
        reason = _REASONS.get(response.status, "Status").encode()
        parts = [b"HTTP/1.1 %d %s\r\n" % (response.status, reason)]
        parts.extend(b"%s: %s\r\n" % pair for pair in response.headers)
        has_body = response.status not in _NO_BODY and method != "HEAD"
        if has_body:
            parts.append(b"Content-Length: %d\r\n" % len(response.body))
        if last:
            parts.append(b"Connection: close\r\n")
        parts.append(b"\r\n")
        if has_body and len(response.body) > LONG_RESPONSE_BYTES:
            self._transport.write(b"".join(parts))
            self._transport.write(response.body)
        else:
            if has_body:
                parts.append(response.body)
            self._transport.write(b"".join(parts))
        # What every connection is charged covers less.
        untaken = self._transport.get_write_buffer_size()
        if self._timer is None and untaken > process_limits.CONNECTION_BYTES:
            self._count()

    def _count(self) -> None:
        self._timer = None
        if self._transport.is_closing() and not self.untaken:
            return
        size = self._transport.get_write_buffer_size()
        if size < self.untaken:
            self._account.note_moved(self.untaken - size)
        elif size and not self.untaken:
            self._account.note_used()
        if size != self.untaken:
            self._account.charge(size - self.untaken)
            self.untaken = size
        if size:
            self._timer = asyncio.get_running_loop().call_later(
                clock.seconds(UNTAKEN_CHECK_MS), self._count
            )

    def close(self) -> None:
        """Ends the checks."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
