"""Packs texts that go to every control VM and to every entry.

Routes repeat their words: 1,800 of them take 358 KB as text and 22 KB packed.
The link of an entry may carry no more than 250 KB a second.
"""

import zlib

# The level of the library at which more time gains little here.
COMPRESSION_LEVEL = 6
# What a text begins with; what is packed never does.
_JSON_START = b"{"


def pack(text: bytes) -> bytes:
    """Returns a JSON object in fewer bytes."""
    return zlib.compress(text, COMPRESSION_LEVEL)


def unpack(data: bytes) -> bytes:
    """Returns the text; earlier versions have kept it as it was.

    Raises:
        ValueError: It is neither.
    """
    if not data or data.startswith(_JSON_START):
        return data
    try:
        return zlib.decompress(data)
    except zlib.error as exc:
        raise ValueError(f"what is packed can't be read: {exc}") from exc
