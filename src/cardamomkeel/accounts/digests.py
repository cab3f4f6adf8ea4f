"""Digests, which replace the keys of client accounts outside requests."""

import hashlib

# 128 bits of SHA-256: collisions by chance are negligible.
DIGEST_BYTES = 16


def make(key: bytes) -> str:
    """Returns the digest of a key in hexadecimal digits."""
    return hashlib.sha256(key).digest()[:DIGEST_BYTES].hex()
