"""Reads JSON with comments into validated models."""

import pathlib
import re
import typing

import json5
import orjson
import pydantic
from returns import result

from cardamomkeel import errors
from cardamomkeel.settings import duplicate_keys

Model = typing.TypeVar("Model", bound=pydantic.BaseModel)

# The prefix that pydantic adds to the message of a ValueError of a validator.
VALUE_ERROR_PREFIX = "Value error, "
# Group 1 matches a run of text without comments. Otherwise the match is a
# comment, either `//` or `/* */`.
TEXT_OR_COMMENT = re.compile(
    r"""((?:[^"/]++|"[^"\\]*+(?:\\.[^"\\]*+)*+"|/(?![/*]))++)"""
    r"|//[^\n]*|/\*.*?\*/",
    re.DOTALL,
)


def load(text: str) -> typing.Any:
    """Returns the content of JSON with comments.

    json5 is slow and would block the event loop, so it only parses texts that
    are not plain JSON after their comments are removed.

    Raises:
        ValueError: The text is malformed.
    """
    without_comments = TEXT_OR_COMMENT.sub(lambda found: found[1] or " ", text)
    try:
        return orjson.loads(without_comments)
    except orjson.JSONDecodeError:
        try:
            return json5.loads(text)
        except RecursionError as exc:
            raise ValueError("it is nested too deeply") from exc


def parse(
    text: str, model: type[Model], source: str
) -> result.Result[Model, errors.Error]:
    """Reads settings from a text.

    Args:
        text: JSON with comments.
        model: The model that the settings have to fit.
        source: Where the text is from, for error messages.
    """
    raw = read_raw(text, source)
    return raw.bind(lambda contents: validate(contents, model, source))


def read_raw(text: str, source: str) -> result.Result[typing.Any, errors.Error]:
    """Returns the content of a text without validating it."""
    try:
        return result.Success(load(text))
    except ValueError as exc:
        return result.Failure(
            errors.SettingsError(
                f"{source} is not JSON with comments: {exc}",
                "correct the text at that place",
            )
        )


def check_duplicate_keys(
    text: str, source: str
) -> result.Result[str, errors.Error]:
    """Returns the text if no object contains a key twice.

    Texts already in force are not checked, since earlier versions accepted
    duplicate keys.
    """
    duplicate = duplicate_keys.find(text)
    if duplicate is None:
        return result.Success(text)
    return result.Failure(
        errors.SettingsError(
            f"{source} holds {duplicate.path} twice, on line "
            f"{duplicate.first_line} and on line {duplicate.second_line}",
            "remove one of them",
        )
    )


def validate(
    raw: typing.Any, model: type[Model], source: str
) -> result.Result[Model, errors.Error]:
    """Validates parsed settings and returns them as a model."""
    try:
        return result.Success(model.model_validate(raw))
    except pydantic.ValidationError as exc:
        return result.Failure(_describe(exc, source))


def parse_json(
    text: str, model: type[Model], source: str
) -> result.Result[Model, errors.Error]:
    """Reads settings from plain JSON."""
    try:
        return result.Success(model.model_validate_json(text))
    except pydantic.ValidationError as exc:
        return result.Failure(_describe(exc, source))


def _describe(
    exc: pydantic.ValidationError, source: str
) -> errors.SettingsError:
    faults = []
    for fault in exc.errors():
        path = ".".join(str(part) for part in fault["loc"]) or "(whole text)"
        faults.append(
            f"{path}: {fault['msg'].removeprefix(VALUE_ERROR_PREFIX)}"
        )
    return errors.SettingsError(
        f"{source} has wrong settings: " + "; ".join(faults),
        "correct the settings named here; docs/settings.md lists them all",
    )


def read_text(
    path: pathlib.Path, remedy: str = "name a readable file"
) -> result.Result[str, errors.Error]:
    """Returns the text of a file with its line endings unchanged.

    Args:
        path: The file.
        remedy: The remedy in the error if the file can't be read.
    """
    try:
        return result.Success(path.read_bytes().decode("utf-8"))
    except (OSError, UnicodeDecodeError) as exc:
        return result.Failure(
            errors.SettingsError(f"{path} can't be read: {exc}", remedy)
        )


def read_file(
    path: pathlib.Path,
    model: type[Model],
    remedy: str = "name a readable file",
) -> result.Result[Model, errors.Error]:
    """Reads settings from a file.

    Args:
        path: The file.
        model: The model that the settings have to fit.
        remedy: The remedy in the error if the file can't be read.
    """
    contents = read_text(path, remedy)
    if not isinstance(contents, result.Success):
        return contents
    text, source = contents.unwrap(), str(path)
    # Syntax errors are reported before duplicate keys.
    parsed = parse(text, model, source)
    if not isinstance(parsed, result.Success):
        return parsed
    return check_duplicate_keys(text, source).bind(lambda _: parsed)
