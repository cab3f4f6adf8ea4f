"""Sends many rows packed and in parts.

The link of an entry may carry no more than 250 KB a second, and all rows of a
large deployment are as much as that. Their asker sees by each part that the
rest is on its way, and can tell a slow link from a control VM that is silent.
"""

import collections.abc
import dataclasses
import typing
import zlib

from cardamomkeel.wire import control_pb2

# A part takes some 30 ms on the slowest link that is known.
CHUNK_BYTES = 8192
# The level of the library that takes the least time.
ZLIB_LEVEL = 1


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


@dataclasses.dataclass(frozen=True, slots=True)
class RowBatch:
    """The rows that one who has the rows of a version lacks.

    Attributes:
        whole: Whether these are all rows.
        records: The rows; none where they are packed.
        chunks: What the packed rows are sent in; none for few rows.
    """

    whole: bool
    records: list[control_pb2.Record]
    chunks: list[bytes]

    def make_replies(
        self, reply: control_pb2.FollowReply
    ) -> list[control_pb2.FollowReply]:
        """Adds the rows to a reply; returns what to send for it, in order."""
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
    """Rows made ready once for all streams that lack the same ones.

    After a loss of power each control VM sends all rows to every entry that
    follows them there.
    """

    def __init__(self, rows: collections.abc.Callable[[], Rows]):
        """Makes batches of the rows of one process.

        Args:
            rows: Returns the rows as they are now.
        """
        self._get_rows = rows
        self._rows: Rows | None = None
        self._version = 0
        self._batches: dict[int, RowBatch] = {}

    def rows(self) -> Rows:
        """Returns the rows as they are now."""
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
    """Puts the parts of one stream together."""

    def __init__(self):
        self._chunks: list[bytes] = []

    def add_reply(
        self, reply: control_pb2.FollowReply
    ) -> control_pb2.FollowReply | None:
        """Returns a reply once it is whole; None where more follows.

        Raises:
            ValueError: What is packed can't be read.
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
