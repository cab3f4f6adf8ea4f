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
PART_BYTES = 8192
# The level of the library that takes the least time.
LEVEL = 1


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
class Batch:
    """The rows that one who has the rows of a version lacks.

    Attributes:
        whole: Whether these are all rows.
        records: The rows; none where they are packed.
        pieces: What the packed rows are sent in; none for few rows.
    """

    whole: bool
    records: list[control_pb2.Record]
    pieces: list[bytes]

    def spread(
        self, reply: control_pb2.FollowReply
    ) -> list[control_pb2.FollowReply]:
        """Adds the rows to a reply; returns what to send for it, in order."""
        reply.whole = self.whole
        if not self.pieces:
            reply.records.extend(self.records)
            return [reply]
        *pieces, reply.packed = self.pieces
        return [
            *(
                control_pb2.FollowReply(packed=piece, more=True)
                for piece in pieces
            ),
            reply,
        ]


class Batches:
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
        self._made: dict[int, Batch] = {}

    def rows(self) -> Rows:
        """Returns the rows as they are now."""
        return self._get_rows()

    def since(self, version: int) -> Batch:
        """Returns the rows that changed after a version."""
        rows = self._get_rows()
        if rows is not self._rows or rows.version != self._version:
            self._rows, self._version = rows, rows.version
            self._made = {}
        batch = self._made.get(version)
        if batch is None:
            batch = self._made[version] = _make(*rows.changed_since(version))
        return batch


def _make(whole: bool, records: list[control_pb2.Record]) -> Batch:
    rows = control_pb2.Rows(records=records)
    if rows.ByteSize() <= PART_BYTES:
        return Batch(whole, records, [])
    packed = zlib.compress(rows.SerializeToString(), LEVEL)
    pieces = [
        packed[start : start + PART_BYTES]
        for start in range(0, len(packed), PART_BYTES)
    ]
    return Batch(whole, [], pieces)


class Joiner:
    """Puts the parts of one stream together."""

    def __init__(self):
        self._pieces: list[bytes] = []

    def take(
        self, reply: control_pb2.FollowReply
    ) -> control_pb2.FollowReply | None:
        """Returns a reply once it is whole; None where more follows.

        Raises:
            ValueError: What is packed can't be read.
        """
        if reply.more:
            self._pieces.append(reply.packed)
            return None
        if not reply.packed:
            return reply
        packed = b"".join([*self._pieces, reply.packed])
        self._pieces = []
        try:
            rows = control_pb2.Rows.FromString(zlib.decompress(packed))
        except zlib.error as exc:
            raise ValueError(f"packed rows can't be read: {exc}") from exc
        reply.ClearField("packed")
        reply.records.extend(rows.records)
        return reply
