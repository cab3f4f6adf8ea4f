"""Fingerprints of requests: hashes that identify equal requests."""

import hashlib

# Long enough that collisions by chance are negligible.
DIGEST_BYTES = 16


def make(*parts: bytes) -> bytes:
    """Returns a hash of the parts.

    Each part is hashed with its length, so that parts that only join to the
    same bytes have different hashes.
    """
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for part in parts:
        digest.update(len(part).to_bytes(8, "little"))
        digest.update(part)
    return digest.digest()
