"""Edits one service in a settings text and preserves the rest of the text.

Comments and formatting are kept, so the text is not parsed and written again.
"""

import collections.abc
import dataclasses
import json
import re
import typing

import json5
from returns import result

from cardamomkeel import errors
from cardamomkeel.settings import rows

STRING = r"""(?:"[^"\\]*+(?:\\.[^"\\]*+)*+"|'[^'\\]*+(?:\\.[^'\\]*+)*+')"""
COMMENT = r"(?://[^\n]*+|/\*.*?\*/)"
SKIPPED = rf"(?:\s++|{COMMENT})*+"
TOKEN = re.compile(
    rf"""{SKIPPED}({STRING}|[{{}}\[\]:,]|[^\s{{}}\[\]:,"'/]++)""", re.DOTALL
)
# A complete object without nested objects; nearly every service is one.
FLAT_OBJECT = re.compile(
    rf"""{SKIPPED}(\{{(?:[^{{}}"'/]++|{STRING}|{COMMENT})*+\}})""", re.DOTALL
)
REST_OF_LINE = re.compile(r"[ \t]*(?://[^\n]*|/\*[^\n]*?\*/)?[ \t]*(?=\n)")
BLANK_REST_OF_LINE = re.compile(r"[ \t]*\n")
SOURCE = "the new settings text"

Values = dict[str, typing.Any]
# The text of a token, its start offset and its end offset.
Token = tuple[str, int, int]


@dataclasses.dataclass(frozen=True)
class _Member:
    """The position of one member of an object, as offsets into the text.

    Attributes:
        key: The name of the member.
        start: The start of the name.
        value: The start of the value.
        end: The end of the value.
        comma: The position of the comma after the value; -1 for none.
    """

    key: str
    start: int
    value: int
    end: int
    comma: int


class _MalformedError(Exception):
    """The tokens of the text do not form the expected objects."""


def change_service(
    base: rows.Parsed, service: str, values: Values, removed: list[str]
) -> result.Result[rows.Parsed, errors.Error]:
    """Returns a settings text with changed values of one service.

    Args:
        base: The current text.
        service: The name of the service.
        values: The new values by setting.
        removed: Settings to remove, so that their defaults apply.
    """
    if service not in base.services:
        return result.Failure(
            errors.SettingsError(
                f"service {service} is not listed",
                "add it to the settings text with `apply`, or correct the name",
            )
        )
    try:
        text = _edit(base.text, service, values, removed)
    except _MalformedError:
        return result.Failure(_make_refusal(service))
    expected_values = {
        name: value
        for name, value in (base.services[service] | values).items()
        if name not in removed
    }
    parsed = rows.parse_next(base, text, SOURCE)
    return parsed.bind(lambda new: _check(base, new, service, expected_values))


def _check(
    base: rows.Parsed, new: rows.Parsed, service: str, expected_values: Values
) -> result.Result[rows.Parsed, errors.Error]:
    """Returns the new text if it differs in nothing but the service."""
    expected = base.services | {service: expected_values}
    if new.services != expected or new.measuring != base.measuring:
        return result.Failure(_make_refusal(service))
    return result.Success(new)


def _make_refusal(service: str) -> errors.SettingsError:
    return errors.SettingsError(
        f"service {service} can't be changed alone in this text",
        "make this change with `show --text` and `apply`",
    )


def _edit(text: str, service: str, values: Values, removed: list[str]) -> str:
    start, end = _find_service(text, service)
    body = text[start:end]
    for name in removed:
        body = _remove(body, name)
    for name, value in values.items():
        body = _set(body, name, json.dumps(value))
    return text[:start] + body + text[end:]


def _find_service(text: str, service: str) -> tuple[int, int]:
    """Returns the start and end of the object of a service."""
    found = _find_member(_list_members(text, _find_services(text)), service)
    if found is None:
        raise _MalformedError
    return found.value, found.end


def _find_services(text: str) -> int:
    """Returns the start of the value of `services`."""
    _, _, end = _read_token(text, 0)
    while True:
        key, _, end = _read_token(text, end)
        _, _, end = _read_token(text, end)
        if _read_key(key) == rows.SERVICES:
            return end
        _, end = _skip_value(text, end)
        _, _, end = _read_token(text, end)


def _find_member(
    members: collections.abc.Iterable[_Member], key: str
) -> _Member | None:
    # Parsers keep the last of several members with the same name.
    return next((m for m in reversed(list(members)) if m.key == key), None)


def _list_members(text: str, start: int) -> list[_Member]:
    """Returns the members of the object that begins at or after an offset."""
    return _read_object(text, start)[0]


def _read_object(text: str, start: int) -> tuple[list[_Member], int]:
    """Returns the members of an object and the end of the object."""
    token, _, end = _read_token(text, start)
    if token != "{":
        raise _MalformedError
    members = []
    while True:
        key, begins, end = _read_token(text, end)
        if key == "}":
            return members, end
        colon, _, end = _read_token(text, end)
        if colon != ":":
            raise _MalformedError
        value, value_end = _skip_value(text, end)
        token, place, end = _read_token(text, value_end)
        comma = place if token == "," else -1
        members.append(_Member(_read_key(key), begins, value, value_end, comma))
        if comma < 0:
            return members, end


def _read_token(text: str, start: int) -> Token:
    found = TOKEN.match(text, start)
    if found is None:
        raise _MalformedError
    return found[1], found.start(1), found.end(1)


def _skip_value(text: str, start: int) -> tuple[int, int]:
    """Returns the start and end of the next value."""
    flat = FLAT_OBJECT.match(text, start)
    if flat is not None:
        return flat.start(1), flat.end(1)
    token, begins, end = _read_token(text, start)
    if token == "{":
        return begins, _read_object(text, start)[1]
    depth = int(token == "[")
    while depth:
        token, _, end = _read_token(text, end)
        depth += (token == "[") - (token == "]")
    return begins, end


def _read_key(token: str) -> str:
    if token[0] not in "\"'":
        return token
    return json5.loads(token) if "\\" in token else token[1:-1]


def _set(body: str, name: str, value: str) -> str:
    """Returns an object with one member set."""
    members = _list_members(body, 0)
    existing = _find_member(members, name)
    if existing is not None:
        return body[: existing.value] + value + body[existing.end :]
    member = f"{json.dumps(name)}: {value}"
    if not members:
        place = body.index("{") + 1
        return f"{body[:place]}{member}{body[place:]}"
    last = members[-1]
    trailing = "," if last.comma >= 0 else ""
    after = last.comma + 1 if trailing else last.end
    head = body[:after] + ("" if trailing else ",")
    rest = REST_OF_LINE.match(body, after)
    indent = body[body.rfind("\n", 0, last.start) + 1 : last.start]
    if rest is None or not indent.isspace():
        return f"{head} {member}{trailing}{body[after:]}"
    tail = body[rest.end() :]
    return f"{head}{rest[0]}\n{indent}{member}{trailing}{tail}"


def _remove(body: str, name: str) -> str:
    """Returns an object without one member."""
    members = _list_members(body, 0)
    member = _find_member(members, name)
    if member is None:
        return body
    start, end = member.start, member.end
    if member.comma >= 0:
        end = member.comma + 1
    elif len(members) > 1:
        # The comma before the last member is removed with it.
        comma = members[-2].comma
        body = body[:comma] + " " + body[comma + 1 :]
    line_start = body.rfind("\n", 0, start) + 1
    rest = BLANK_REST_OF_LINE.match(body, end)
    if body[line_start:start].isspace() and rest is not None:
        start, end = line_start, rest.end()
    return body[:start] + body[end:]
