"""Checks the first line of an answer before the rest of it has come.

Parsers take any three digits for a status. One below 100 looks like an interim
answer, so that its request would wait for another one until the deadline.
"""

import re

# Version, status, and the byte behind it.
_DECIDED_BYTES = 13
_VALID = re.compile(rb"HTTP/1\.[01] [1-5][0-9][0-9][ \r\n]")
_VERSIONS = frozenset(["1.0", "1.1"])
MIN_STATUS = 100
MAX_STATUS = 599


def is_valid(version: str, status: int) -> bool:
    """Returns whether a parsed version and status are of the protocol."""
    return version in _VERSIONS and MIN_STATUS <= status <= MAX_STATUS


class FirstLine:
    """The first bytes that follow a request."""

    def __init__(self):
        self._begin = b""
        self._is_decided = False

    def reset(self) -> None:
        """Begins with the next request."""
        self._begin = b""
        self._is_decided = False

    def is_wrong(self, data: memoryview) -> bool:
        """Returns whether these bytes show that the line is not valid.

        Args:
            data: The next received bytes.
        """
        if self._is_decided:
            return False
        # Empty lines before it do no harm.
        begin = (self._begin + bytes(data[:_DECIDED_BYTES])).lstrip(b"\r\n")
        self._begin = begin = begin[:_DECIDED_BYTES]
        if len(begin) < _DECIDED_BYTES and b"\n" not in begin:
            return False
        self._is_decided = True
        return _VALID.match(begin) is None
