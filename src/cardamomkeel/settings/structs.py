"""Decodes JSON into validated msgspec structs.

Programs whose start time matters to callers use this module, because importing
the pydantic models of `reader` takes a third of their start time.
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
    """Decodes plain JSON.

    Args:
        raw: The encoded JSON.
        kind: The type to decode.
        source: The origin of the JSON, for error messages.
        remedy: The remedy in the error if the JSON is invalid.
    """
    try:
        return result.Success(msgspec.json.decode(raw, type=kind))
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as exc:
        return result.Failure(_describe(exc, source, remedy))


def convert(
    content: typing.Any, kind: type[Kind], source: str, remedy: str = REMEDY
) -> result.Result[Kind, errors.Error]:
    """Converts parsed JSON to a type and validates it; see `decode`."""
    try:
        return result.Success(msgspec.convert(content, kind))
    except (msgspec.ValidationError, RecursionError) as exc:
        return result.Failure(_describe(exc, source, remedy))


def encode(content: msgspec.Struct) -> bytes:
    """Returns a struct as JSON that `decode` accepts."""
    return msgspec.json.encode(content)


def _describe(exc: Exception, source: str, remedy: str) -> errors.SettingsError:
    return errors.SettingsError(f"{source} has wrong content: {exc}", remedy)
