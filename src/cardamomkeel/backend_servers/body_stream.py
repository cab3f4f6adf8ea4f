"""Streams the body of an answer that is too long to be buffered."""

import asyncio
import collections.abc
import typing

from cardamomkeel import body_parts
from cardamomkeel import buffers
from cardamomkeel.backend_servers import client
from cardamomkeel.routing import messages

# Reading from the connection pauses while this many bytes wait for the reader.
PAUSE_BYTES = 64 * 1024
# The maximum memory of one stream: the buffered bytes, one more part that was
# already being received, and the same amount on its way to the reader.
STREAM_BYTES = 5 * PAUSE_BYTES


class Source(typing.Protocol):
    """The connection that feeds a stream."""

    def pause(self) -> None:
        """Stops reading from the connection."""

    def resume(self) -> None:
        """Resumes reading from the connection."""


class BodyStream:
    """Passes a body from a connection to a reader, with flow control.

    Attributes:
        ended: Set once the last byte was received or the stream has failed;
            the reader may still have bytes to read.
        failure: Why the body is incomplete; None if the stream has not failed.
    """

    def __init__(self, source: Source, share: buffers.Share):
        self._source = source
        self._share = share
        self._parts = body_parts.BodyParts()
        self._size = 0
        self._is_paused = False
        self._is_complete = False
        self._is_released = False
        self._changed = asyncio.Event()
        self._on_failure: list[collections.abc.Callable[[], None]] = []
        self.ended = asyncio.Event()
        self.failure: client.SendFailure | None = None
        self._has_memory = share.try_acquire(STREAM_BYTES)
        if not self._has_memory:
            share.acquire_later(STREAM_BYTES, self._note_memory_granted)
        self._update_reading()

    # The connection and the pool call the following methods.

    def feed(self, part: bytes) -> None:
        """Adds the next part of the body."""
        if self.ended.is_set():
            return
        self._parts.append(part)
        self._size += len(part)
        self._changed.set()
        self._update_reading()

    def complete(self) -> None:
        """Ends the stream after the last byte was received."""
        self._is_complete = True
        self._update_reading()
        self._changed.set()
        self.ended.set()

    def fail(self, kind: client.FailureKind, message: str) -> None:
        """Ends the stream with an incomplete body."""
        if self.ended.is_set():
            return
        self.failure = client.SendFailure(kind, message)
        self._parts.clear()
        self._size = 0
        self._changed.set()
        self.ended.set()
        self._release()
        for call in self._on_failure:
            call()

    def is_blocked_by_reader(self) -> bool:
        """Returns whether the stream waits for its reader."""
        return self._is_paused or bool(self._parts)

    # Called by the reader.

    def is_complete(self) -> bool:
        """Returns whether the last byte was received."""
        return self._is_complete

    def is_truncated(self) -> bool:
        """Returns whether the stream has failed with an incomplete body."""
        return self.failure is not None

    async def read(self) -> bytes:
        """Returns the received bytes, or empty bytes at the end of the body.

        Raises:
            messages.TruncatedBodyError: The body is incomplete.
        """
        while not self._parts and not self.ended.is_set():
            self._changed.clear()
            await self._changed.wait()
        if self.failure is not None:
            raise messages.TruncatedBodyError(self.failure.message)
        data = self._parts.join()
        self._size = 0
        self._update_reading()
        return data

    async def wait_end(self) -> None:
        """Waits until the last byte was received or the stream has failed."""
        await self.ended.wait()

    def close(self) -> None:
        """Ends reading; an incomplete body is discarded."""
        self.fail(client.FailureKind.GIVEN_UP, "its reader left")
        self._release()

    def on_failure(self, call: collections.abc.Callable[[], None]) -> None:
        """Registers a function to call if the stream fails."""
        if self.failure is not None:
            call()
            return
        self._on_failure.append(call)

    # Internal.

    def _note_memory_granted(self) -> None:
        self._has_memory = True
        self._update_reading()

    def _update_reading(self) -> None:
        """Pauses or resumes reading from the connection."""
        if self.ended.is_set():
            return
        has_room = self._has_memory and self._size < PAUSE_BYTES
        wants_pause = not self._is_complete and not has_room
        if wants_pause and not self._is_paused:
            self._is_paused = True
            self._source.pause()
        elif self._is_paused and not wants_pause:
            self._is_paused = False
            self._source.resume()

    def _release(self) -> None:
        if self._is_released:
            return
        self._is_released = True
        if self._has_memory:
            self._share.release(STREAM_BYTES)
        else:
            self._share.budget.remove_waiter(self._note_memory_granted)
