"""The command that puts routes in force, wherever they were written."""

import hashlib
import typing

import orjson

from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import packing
from cardamomkeel.settings import structs
from cardamomkeel.wire import control_pb2

# Fingerprints that never meet by chance.
FINGERPRINT_BYTES = 16


def make_fingerprint(content: typing.Any) -> bytes:
    """Returns what tells the content of a text from that of another.

    White space and the order of fields do not make another one.

    Args:
        content: What the text holds, as read from JSON.
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
    """Returns the command.

    Args:
        number: The number of the new routes.
        base_number: The number of those that they build on; 0 for none.
        document: What they say.
        fingerprint: Tells them from others of the same number.
        source: The text as it came.
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
