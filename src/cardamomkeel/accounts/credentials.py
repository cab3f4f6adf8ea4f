"""Reads the key of a client account from the headers of a request."""

import re
import typing

from cardamomkeel import http_headers
from cardamomkeel.accounts import digests

AUTHORIZATION = b"authorization"
# A longer key is refused without a digest of it.
MAX_KEY_BYTES = 512
# RFC 6750: the scheme in any case, one space or more, and the key.
_BEARER = re.compile(rb"[Bb][Ee][Aa][Rr][Ee][Rr] +([\x21-\x7e]+)")


class Credentials(typing.NamedTuple):
    """What a request says of its account.

    Attributes:
        digest: The digest of the key; empty if there is none that can be read.
        fault: Why there is none; the text holds nothing of the key.
    """

    digest: str
    fault: str = ""


def read(headers: http_headers.Headers) -> Credentials:
    """Returns the digest of the key of a request."""
    values = [v for name, v in headers if name.lower() == AUTHORIZATION]
    if not values:
        return Credentials("", "the request has no key")
    if len(values) > 1:
        return Credentials("", "the request has more than one key")
    found = _BEARER.fullmatch(values[0].strip(b" \t"))
    if found is None:
        return Credentials("", "the key is not sent as a bearer token")
    if len(found[1]) > MAX_KEY_BYTES:
        return Credentials("", "the key is too long")
    return Credentials(digests.make(found[1]))


def strip(
    headers: http_headers.Headers, account_header: bytes
) -> http_headers.Headers:
    """Returns the headers without the key and without an account's name.

    Some servers take underscores in the names of headers for hyphens.

    Args:
        headers: The headers of a request.
        account_header: The header that tells targets the account, in lower
            case.
    """
    dropped = (AUTHORIZATION, account_header)
    return [
        pair
        for pair in headers
        if pair[0].lower().replace(b"_", b"-") not in dropped
    ]
