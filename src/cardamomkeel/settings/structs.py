"""Reads JSON into checked structures.

The programs that callers wait for at their start use these, since the models
of `reader` take a third of that start to import.
"""

import typing

import msgspec
from returns import result

from cardamomkeel import errors

Kind = typing.TypeVar("Kind")

REMEDY = "correct what is named here; docs/settings.md lists them all"


def decode(
    raw: bytes, kind: type[Kind], source: str, remedy: str = REMEDY
) -> result.Result[Kind, errors.Error]:
    """Reads plain JSON.

    Args:
        raw: The text.
        kind: What it has to fit.
        source: Where the text is from, for error messages.
        remedy: What to do where it does not fit.
    """
    try:
        return result.Success(msgspec.json.decode(raw, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        return result.Failure(_describe(exc, source, remedy))


def convert(
    content: typing.Any, kind: type[Kind], source: str, remedy: str = REMEDY
) -> result.Result[Kind, errors.Error]:
    """Checks what was read already; see `decode`."""
    try:
        return result.Success(msgspec.convert(content, kind))
    except msgspec.ValidationError as exc:
        return result.Failure(_describe(exc, source, remedy))


def encode(content: msgspec.Struct) -> bytes:
    """Returns the JSON that `decode` reads."""
    return msgspec.json.encode(content)


def _describe(exc: Exception, source: str, remedy: str) -> errors.SettingsError:
    return errors.SettingsError(f"{source} has wrong content: {exc}", remedy)
