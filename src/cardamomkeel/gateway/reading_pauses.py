"""Pauses the reading of a connection for several reasons at once."""

import asyncio
import enum


class Reason(enum.Enum):
    """Why a connection is not read."""

    TURN = enum.auto()
    PIPELINE = enum.auto()
    UNTAKEN = enum.auto()
    DISCARDED = enum.auto()


class ReadingPauses:
    """The reasons for which one connection is not read now."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._reasons: set[Reason] = set()

    def open(self, transport: asyncio.Transport) -> None:
        """Sets the transport of the connection."""
        self._transport = transport

    def add(self, reason: Reason) -> None:
        """Pauses reading."""
        if not self._reasons and not self._transport.is_closing():
            self._transport.pause_reading()
        self._reasons.add(reason)

    def remove(self, reason: Reason) -> None:
        """Ends a reason; reading is resumed behind the last one."""
        if reason not in self._reasons:
            return
        self._reasons.discard(reason)
        if not self._reasons and not self._transport.is_closing():
            self._transport.resume_reading()

    def set(self, reason: Reason, reads: bool) -> None:
        """Ends a reason, or pauses reading for it."""
        if reads:
            self.remove(reason)
        else:
            self.add(reason)

    def clear(self) -> None:
        """Ends all reasons."""
        for reason in list(self._reasons):
            self.remove(reason)
