"""Rules for HTTP headers that hold on both sides of an entry."""

import re

Headers = list[tuple[bytes, bytes]]

# Headers that concern one connection and are never passed on.
HOP_BY_HOP = frozenset(
    [
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    ]
)
_BAD_NAME = re.compile(rb"[^!#$%&'*+\-.^_`|~0-9A-Za-z]")
_BAD_VALUE = re.compile(rb"[\x00-\x08\x0a-\x1f\x7f]")
_BAD_PATH = re.compile(r"[^\x21-\x7e]")


def keep_end_to_end(
    headers: Headers, dropped: frozenset[bytes] = frozenset()
) -> Headers:
    """Returns the headers that are passed on, in their order.

    Args:
        headers: The headers of a message.
        dropped: Lower-case names to leave out besides the hop-by-hop ones.
    """
    dropped_names = HOP_BY_HOP | dropped
    named = _list_connection_names(headers)
    if named:
        dropped_names |= named
    return [pair for pair in headers if pair[0].lower() not in dropped_names]


def _list_connection_names(headers: Headers) -> set[bytes]:
    """Returns the names that Connection headers list as hop-by-hop."""
    named = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named.update(part.strip().lower() for part in value.split(b","))
    return named


def is_safe_header(name: bytes, value: bytes) -> bool:
    """Tells whether a header can't be read as more than one header."""
    return (
        bool(name)
        and not _BAD_NAME.search(name)
        and not _BAD_VALUE.search(value)
    )


def is_safe_path(path: str) -> bool:
    """Tells whether a path fits on a request line and nothing else does."""
    return path.startswith("/") and not _BAD_PATH.search(path)
