"""Limits the bytes of an HTTP message that are not its body.

Parsers keep a field until it is complete and report nothing before that, so
limits on complete headers do not bound a header, a trailer or a chunk extension
without end.
"""

# A body in chunks of one byte has five more bytes for each.
MAX_BYTES_PER_BODY_BYTE = 8
# How many bytes of a rejected request are read and discarded.
MAX_DISCARDED_BYTES = 4 * 1024 * 1024


class FramingBytes:
    """Counts received bytes outside of bodies, as they arrive.

    Attributes:
        limit: How many bytes may follow each other without a byte of a body.
    """

    def __init__(self, limit: int):
        self.limit = limit
        self.reset()

    def reset(self) -> None:
        """Begins with the next message."""
        self._since_body = 0
        self._total = 0
        self._body = 0

    def count_received(self, size: int) -> None:
        """Counts received bytes; to be called before they are parsed."""
        self._since_body += size
        self._total += size

    def count_body(self, size: int) -> None:
        """Records that some of the received bytes were part of a body."""
        self._since_body = 0
        self._body += size

    def is_exceeded(self) -> bool:
        """Returns whether the message has too many bytes outside its body."""
        allowed = self.limit + MAX_BYTES_PER_BODY_BYTE * self._body
        return (
            self._since_body > self.limit or self._total - self._body > allowed
        )
