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

# What pydantic puts before the words of a check of our own.
VALUE_ERROR_PREFIX = "Value error, "
# What holds no comment, in one run, or a comment of one of the two kinds.
TEXT_OR_COMMENT = re.compile(
    r"""((?:[^"/]++|"[^"\\]*+(?:\\.[^"\\]*+)*+"|/(?![/*]))++)"""
    r"|//[^\n]*|/\*.*?\*/",
    re.DOTALL,
)


def load(text: str) -> typing.Any:
    """Returns what JSON with comments holds.

    The library for JSON with comments is slow and blocks the loop, so it only
    gets what is not plain JSON once the comments are gone.

    Raises:
        ValueError: The text is malformed.
    """
    without_comments = TEXT_OR_COMMENT.sub(lambda found: found[1] or " ", text)
    try:
        return orjson.loads(without_comments)
    except orjson.JSONDecodeError:
        return json5.loads(text)


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
    """Returns what a text holds, unchecked."""
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
    """Returns a text that holds no name twice in one object.

    Texts that are in force are not checked: earlier versions took them.
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
    """Returns settings that were read as a model."""
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
    """Returns what a file holds as written, the ends of lines included.

    Args:
        path: The file.
        remedy: What to do where it can't be read.
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
        remedy: What to do where the file can't be read.
    """
    contents = read_text(path, remedy)
    if not isinstance(contents, result.Success):
        return contents
    text, source = contents.unwrap(), str(path)
    # What can't be read at all is told first.
    parsed = parse(text, model, source)
    if not isinstance(parsed, result.Success):
        return parsed
    return check_duplicate_keys(text, source).bind(lambda _: parsed)
