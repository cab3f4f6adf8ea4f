"""Reads the text in which operators write routes."""

import dataclasses

from returns import result

from cardamomkeel import errors
from cardamomkeel.routes import change
from cardamomkeel.routes import document as document_lib
from cardamomkeel.settings import reader
from cardamomkeel.settings import structs


@dataclasses.dataclass(frozen=True)
class RoutesText:
    """Routes as operators wrote them.

    Attributes:
        text: JSON with comments, as written.
        document: What it says.
        fingerprint: Tells what it says from another text's, whatever the
            comments and the order of its fields.
    """

    text: str
    document: document_lib.RoutesDocument
    fingerprint: bytes


def parse(text: str, source: str) -> result.Result[RoutesText, errors.Error]:
    """Reads routes, or says what is wrong with them.

    Args:
        text: JSON with comments.
        source: Where the text is from, for error messages.
    """
    raw = reader.read_raw(text, source)
    if not isinstance(raw, result.Success):
        return raw
    content = raw.unwrap()
    converted = structs.convert(content, document_lib.RoutesDocument, source)
    if not isinstance(converted, result.Success):
        return converted
    # What can't be read at all is told first.
    checked = reader.check_repeats(text, source)
    fingerprint = change.make_fingerprint(content)
    return checked.map(
        lambda checked_text: RoutesText(
            checked_text, converted.unwrap(), fingerprint
        )
    )
