"""Rules for HTTP headers and paths that an entry receives or sends."""

import re

Headers = list[tuple[bytes, bytes]]

# Headers that apply to a single connection and are never forwarded.
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
_ID = re.compile(r"[\x21-\x7e]{1,200}")
# Enough for the milliseconds of thirty years.
MAX_DIGITS = 12


def keep_end_to_end(
    headers: Headers, dropped: frozenset[bytes] = frozenset()
) -> Headers:
    """Returns the headers to forward, in their original order.

    Args:
        headers: The headers of a message.
        dropped: Further names to leave out, in lower case.
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
    """Returns whether a header can't be parsed as more than one header."""
    return (
        bool(name)
        and not _BAD_NAME.search(name)
        and not _BAD_VALUE.search(value)
    )


def parse_number(value: bytes) -> int | None:
    """Returns the value of a header that is a whole number, else None."""
    if value.isdigit() and len(value) <= MAX_DIGITS:
        return int(value)
    return None


def check_id(value: str) -> str:
    """Returns an id if it can be sent in a header.

    Raises:
        ValueError: It is empty, too long, or has characters other than visible
            ASCII characters.
    """
    if not _ID.fullmatch(value):
        raise ValueError(
            f"{value[:100]!r} has to be 1 to 200 visible ASCII characters"
        )
    return value


def is_safe_path(path: str) -> bool:
    """Returns whether a path is valid and can't inject into a request line."""
    return path.startswith("/") and not _BAD_PATH.search(path)
