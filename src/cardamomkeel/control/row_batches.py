"""Compresses large sets of rows and sends them in chunks.

The network link of an entry may have as little as 250 KB/s, and all rows of a
large deployment are that large. Each chunk shows the receiver that the rest
will follow, so that it can distinguish a slow link from an unresponsive control
VM.
"""

import collections.abc
import dataclasses
import typing
import zlib

from cardamomkeel.wire import control_pb2

# Takes about 30 ms on the slowest known link.
CHUNK_BYTES = 8192
# The fastest level of zlib.
ZLIB_LEVEL = 1


class Rows(typing.Protocol):
    """Rows of the state, each with the version that last changed it.

    Attributes:
        version: The version of the newest row.
        urgent_version: The version of the newest row that is sent to entries
            without delay.
    """

    version: int
    urgent_version: int

    def changed_since(
        self, version: int
    ) -> tuple[bool, list[control_pb2.Record]]:
        """Returns the rows that changed after a version.

        Returns:
            Whether these are all rows and not only the changed ones; the rows.
        """


@dataclasses.dataclass(frozen=True, slots=True)
class RowBatch:
    """The rows that changed after a version.

    Attributes:
        whole: Whether these are all rows.
        records: The rows; empty if they are compressed.
        chunks: The compressed rows, split; empty for few rows.
    """

    whole: bool
    records: list[control_pb2.Record]
    chunks: list[bytes]

    def make_replies(
        self, reply: control_pb2.FollowReply
    ) -> list[control_pb2.FollowReply]:
        """Adds the rows to a reply; returns the messages to send, in order."""
        reply.whole = self.whole
        if not self.chunks:
            reply.records.extend(self.records)
            return [reply]
        *chunks, reply.packed = self.chunks
        return [
            *(
                control_pb2.FollowReply(packed=chunk, more=True)
                for chunk in chunks
            ),
            reply,
        ]


class RowBatches:
    """Caches batches, so that streams at the same version share one.

    After a power failure each control VM sends all rows to all of its entries.
    """

    def __init__(self, rows: collections.abc.Callable[[], Rows]):
        """Creates the batches of the rows of one process.

        Args:
            rows: Returns the current rows.
        """
        self._get_rows = rows
        self._rows: Rows | None = None
        self._version = 0
        self._batches: dict[int, RowBatch] = {}

    def rows(self) -> Rows:
        """Returns the current rows."""
        return self._get_rows()

    def since(self, version: int) -> RowBatch:
        """Returns the rows that changed after a version."""
        rows = self._get_rows()
        if rows is not self._rows or rows.version != self._version:
            self._rows, self._version = rows, rows.version
            self._batches = {}
        batch = self._batches.get(version)
        if batch is None:
            batch = self._batches[version] = _make_batch(
                *rows.changed_since(version)
            )
        return batch


def _make_batch(whole: bool, records: list[control_pb2.Record]) -> RowBatch:
    rows = control_pb2.Rows(records=records)
    if rows.ByteSize() <= CHUNK_BYTES:
        return RowBatch(whole, records, [])
    packed = zlib.compress(rows.SerializeToString(), ZLIB_LEVEL)
    chunks = [
        packed[start : start + CHUNK_BYTES]
        for start in range(0, len(packed), CHUNK_BYTES)
    ]
    return RowBatch(whole, [], chunks)


class ReplyAssembler:
    """Assembles the chunks that arrive on one stream."""

    def __init__(self):
        self._chunks: list[bytes] = []

    def add_reply(
        self, reply: control_pb2.FollowReply
    ) -> control_pb2.FollowReply | None:
        """Returns a reply once it is complete; None if chunks are missing.

        Raises:
            ValueError: The compressed rows are invalid.
        """
        if reply.more:
            self._chunks.append(reply.packed)
            return None
        if not reply.packed:
            return reply
        packed = b"".join([*self._chunks, reply.packed])
        self._chunks = []
        try:
            rows = control_pb2.Rows.FromString(zlib.decompress(packed))
        except zlib.error as exc:
            raise ValueError(f"packed rows can't be read: {exc}") from exc
        reply.ClearField("packed")
        reply.records.extend(rows.records)
        return reply
