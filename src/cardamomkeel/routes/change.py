"""Builds the command that applies routes, for all sources of routes."""

import hashlib
import typing

import orjson

from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import packing
from cardamomkeel.settings import structs
from cardamomkeel.wire import control_pb2

# 128 bits of SHA-256: collisions by chance are negligible.
FINGERPRINT_BYTES = 16


def make_fingerprint(content: typing.Any) -> bytes:
    """Returns a hash of the content of a routes text.

    White space and the order of fields do not change the hash.

    Args:
        content: The parsed JSON value.
    """
    normalized = orjson.dumps(content, option=orjson.OPT_SORT_KEYS)
    return hashlib.sha256(normalized).digest()[:FINGERPRINT_BYTES]


def make_command(
    number: int,
    base_number: int,
    document: document_lib.RoutesDocument,
    fingerprint: bytes,
    source: bytes,
) -> control_pb2.Command:
    """Returns the command that applies routes.

    Args:
        number: The number of the new routes.
        base_number: The number of the routes that they replace; 0 for none.
        document: The new routes.
        fingerprint: Distinguishes the routes from others of the same number.
        source: The original text.
    """
    return control_pb2.Command(
        apply_routes=control_pb2.ApplyRoutes(
            base_number=base_number,
            number=number,
            document=packing.pack(structs.encode(document)),
            fingerprint=fingerprint,
            source=packing.pack(source),
        )
    )
