"""Parses the routes text, which operators write."""

import dataclasses

from returns import result

from cardamomkeel import errors
from cardamomkeel.routes import change
from cardamomkeel.routes import document as document_lib
from cardamomkeel.settings import reader
from cardamomkeel.settings import structs


@dataclasses.dataclass(frozen=True)
class RoutesText:
    """A parsed routes text.

    Attributes:
        text: The original JSON with comments.
        document: The routes.
        fingerprint: A hash of the content; comments and the order of fields
            do not change it.
    """

    text: str
    document: document_lib.RoutesDocument
    fingerprint: bytes


def parse(text: str, source: str) -> result.Result[RoutesText, errors.Error]:
    """Parses and checks a routes text.

    Args:
        text: JSON with comments.
        source: The origin of the text, for error messages.
    """
    raw = reader.read_raw(text, source)
    if not isinstance(raw, result.Success):
        return raw
    content = raw.unwrap()
    converted = structs.convert(content, document_lib.RoutesDocument, source)
    if not isinstance(converted, result.Success):
        return converted
    # Checked last, so that syntax and type errors are reported first.
    checked = reader.check_duplicate_keys(text, source)
    fingerprint = change.make_fingerprint(content)
    return checked.map(
        lambda checked_text: RoutesText(
            checked_text, converted.unwrap(), fingerprint
        )
    )
