"""Checks the head of a request before its body is read."""

import dataclasses

from cardamomkeel import http_headers

# Duplicates of these headers are rejected, since two parsers may pick different
# values.
_SINGLE_HEADERS = frozenset([b"content-length", b"host", b"transfer-encoding"])
# The only transfer coding that is decoded. A body in another coding would be
# forwarded with the wrong meaning.
_CHUNKED = b"chunked"


class RequestRejected(Exception):  # noqa: N818
    """A request breaks a limit or has ambiguous headers.

    Attributes:
        status: The status of the response.
    """

    def __init__(self, status: int):
        super().__init__(status)
        self.status = status


@dataclasses.dataclass(slots=True)
class Head:
    """What the head says of the body.

    Attributes:
        length: The announced length; 0 if there is none.
        expects_continue: Whether the caller waits for a word to go on.
    """

    length: int = 0
    expects_continue: bool = False


def check(
    method: bytes, headers: http_headers.Headers, max_body_bytes: int
) -> Head:
    """Returns what a head says of the body.

    Raises:
        RequestRejected: A tunnel is asked for, a header is ambiguous or the
            body is too long.
    """
    if method == b"CONNECT":
        raise RequestRejected(501)
    head = Head()
    seen = set()
    for name, value in headers:
        lowered = name.lower()
        if lowered in _SINGLE_HEADERS:
            if lowered in seen:
                raise RequestRejected(400)
            seen.add(lowered)
        if lowered == b"content-length":
            length = http_headers.parse_number(value)
            if length is None or length > max_body_bytes:
                raise RequestRejected(413)
            head.length = length
        elif lowered == b"transfer-encoding":
            if value.lower() != _CHUNKED:
                raise RequestRejected(400)
        elif lowered == b"expect" and value.lower() == b"100-continue":
            head.expects_continue = True
    return head
