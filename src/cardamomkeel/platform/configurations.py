"""Decodes the platform's configurations into routes.

A configuration lists routes and services as columns and rows. Only this module
knows the platform's field names; unknown fields are ignored.
"""

import collections.abc
import dataclasses
import typing

import anyio
import orjson
import pydantic
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.accounts import digests
from cardamomkeel.routes import change
from cardamomkeel.routes import document as document_lib
from cardamomkeel.settings import structs

REMEDY = "send it in full, as docs/operators/platform.md tells"
# Whether a request may run more than once, by the type of its route. The
# answers of a download are long.
_IDEMPOTENT = {"safe": True, "download": True, "unsafe": False}

# Rows that are checked in one turn of the event loop.
ROWS_PER_TURN = 500
# A version is stored in 64 bits.
MAX_VERSION_DIGITS = 16
# An error may quote a value of any length.
MAX_REASON_LENGTH = 500

Number = typing.Annotated[float, pydantic.Field(strict=True)]
Integer = typing.Annotated[int, pydantic.Field(strict=True)]
Text = typing.Annotated[str, pydantic.Field(strict=True)]
# Validation of a list ends with the first error. A text may have a million of
# them, and each takes more memory than the value that it is about.
Texts = typing.Annotated[list[Text], pydantic.FailFast()]


def _to_kebab_case(name: str) -> str:
    return name.replace("_", "-")


class _Row(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(
        alias_generator=_to_kebab_case,
        populate_by_name=True,
        extra="ignore",
        # An error that shows a value may show a key.
        hide_input_in_errors=True,
    )


class _Part(_Row):
    service: Text
    weight: Number


class _Route(_Row):
    name: Text = ""
    hostname: Text
    path_prefix: Text
    type: typing.Literal["safe", "download", "unsafe"]
    timeout_ms: Number
    # "aim" on the wire: the time within which an answer is of full use. It is
    # not a limit.
    aim_ms: Number
    # 0 is the most urgent.
    priority: Integer = 0
    attempts: Integer
    service: Text | None = None
    traffic_split: list[_Part] | None = pydantic.Field(None, fail_fast=True)
    auth_exempt: typing.Annotated[bool, pydantic.Field(strict=True)] = False


class _Service(_Row):
    name: Text
    health_path: Text = "/health"
    max_conns: Integer = 250
    # "warmup" is the cold start: its duration, and the request rate that a
    # target sustains during it.
    warmup_s: Number | None = None
    warmup_per_s: Number | None = None


class _Tenant(_Row):
    # "Tenant" on the wire is the client account.
    name: Text
    api_keys: Texts = []
    priority: Integer | None = None
    rate_per_s: Number | None = None
    burst: Number | None = None


class _Limits(_Row):
    max_header_bytes: Integer = 16_384
    max_body_bytes: Integer = 67_108_864
    header_timeout_ms: Number = 3000
    idle_timeout_ms: Number = 15_000


class _Table(_Row):
    columns: Texts
    # Checked by `check`, since validation would copy each row.
    rows: list[typing.Any]

    def check(self) -> None:
        """Checks that the rows fit the columns.

        Raises:
            ValueError: A column is named twice, or a row is no list or has
                another number of values than there are columns.
        """
        if len(set(self.columns)) != len(self.columns):
            raise ValueError("a column is named twice")
        for row in self.rows:
            if not isinstance(row, list) or len(row) != len(self.columns):
                raise ValueError("a row does not fit the columns")

    def iter_records(
        self,
    ) -> collections.abc.Iterator[dict[str, typing.Any]]:
        """Yields each row as a dict by column, without the null values."""
        for row in self.rows:
            yield {
                name: value
                for name, value in zip(self.columns, row, strict=True)
                if value is not None
            }


class _Configuration(_Row):
    version: Text
    base_version: Text | Integer
    routes: _Table
    services: _Table
    limits: _Limits = _Limits()
    tenants: _Table | None = None


@dataclasses.dataclass(frozen=True)
class Configuration:
    """A configuration that is valid by itself.

    Whether it can replace the configuration in force is not checked here.

    Attributes:
        number: Its version as a number; see `parse_version`.
        base_number: The number of the configuration that it is based on; 0
            for none.
        document: Its routes, services and limits.
        fingerprint: Distinguishes configurations with the same number.
        source: The text as received.
    """

    number: int
    base_number: int
    document: document_lib.RoutesDocument
    fingerprint: bytes
    source: bytes


def parse_version(value: str | int) -> int:
    """Returns the number of a version, parsed from hexadecimal digits.

    Raises:
        ValueError: The value is not a version.
    """
    if isinstance(value, int):
        if not 0 <= value < 16**MAX_VERSION_DIGITS:
            raise ValueError("a version is out of range")
        return value
    if len(value) > MAX_VERSION_DIGITS:
        raise ValueError(f"a version has more than {MAX_VERSION_DIGITS} digits")
    if not value or not all(c in "0123456789abcdefABCDEF" for c in value):
        raise ValueError(f"{value!r} is no version")
    return int(value, 16)


def _make_route(row: _Route) -> dict[str, typing.Any]:
    if row.traffic_split is not None:
        parts = [part.model_dump() for part in row.traffic_split]
    elif row.service is not None:
        parts = [{"service": row.service, "weight": 1.0}]
    else:
        raise ValueError("a route names no service")
    return {
        "name": row.name,
        "host": row.hostname,
        "prefix": row.path_prefix,
        "parts": parts,
        "idempotent": _IDEMPOTENT[row.type],
        "attempts": row.attempts,
        "timeout_ms": row.timeout_ms,
        "objective_ms": row.aim_ms,
        "priority": row.priority,
        "keyless": row.auth_exempt,
    }


def _make_account(row: _Tenant) -> dict[str, typing.Any]:
    return {
        "name": row.name,
        "key_digests": [digests.make(key.encode()) for key in row.api_keys],
        "priority": row.priority,
        "rate_per_s": row.rate_per_s or 0.0,
        "burst": row.burst or 0.0,
    }


def _make_services(rows: list[_Service]) -> dict[str, typing.Any]:
    services: dict[str, typing.Any] = {}
    for row in rows:
        if row.name in services:
            raise ValueError(f"the service {row.name} is listed twice")
        services[row.name] = {
            "health_path": row.health_path,
            "connections": row.max_conns,
            "cold_ms": (row.warmup_s or 0.0) * clock.MS_PER_SECOND,
            "cold_per_s": row.warmup_per_s,
        }
    return services


Row = typing.TypeVar("Row", bound=_Row)
Value = typing.TypeVar("Value")
# Does a part of the work before each `yield`, and returns the result.
Steps = collections.abc.Generator[None, None, Value]


def _convert_rows(
    table: _Table,
    kind: type[Row],
    make: collections.abc.Callable[[Row], Value],
) -> Steps[list[Value]]:
    table.check()
    converted = []
    for record in table.iter_records():
        converted.append(make(kind.model_validate(record)))
        if len(converted) % ROWS_PER_TURN == 0:
            yield
    return converted


def _decode(raw: bytes) -> Steps[tuple[_Configuration, bytes]]:
    """Returns a configuration and its fingerprint."""
    content = orjson.loads(raw)
    yield
    fingerprint = change.make_fingerprint(content)
    yield
    return _Configuration.model_validate(content), fingerprint


def _make_content(decoded: _Configuration) -> Steps[dict[str, typing.Any]]:
    limits = decoded.limits
    services = yield from _convert_rows(
        decoded.services, _Service, lambda row: row
    )
    accounts = None
    if decoded.tenants is not None:
        accounts = yield from _convert_rows(
            decoded.tenants, _Tenant, _make_account
        )
    routes = yield from _convert_rows(decoded.routes, _Route, _make_route)
    return {
        "routes": routes,
        "services": _make_services(services),
        "limits": {
            "header_bytes": limits.max_header_bytes,
            "body_bytes": limits.max_body_bytes,
            "header_ms": limits.header_timeout_ms,
            "idle_ms": limits.idle_timeout_ms,
        },
        "accounts": accounts,
    }


def _parse(raw: bytes) -> Steps[result.Result[Configuration, errors.Error]]:
    try:
        decoded, fingerprint = yield from _decode(raw)
        number = parse_version(decoded.version)
        base_number = parse_version(decoded.base_version)
        content = yield from _make_content(decoded)
    except (ValueError, TypeError, RecursionError) as exc:
        reason = str(exc)[:MAX_REASON_LENGTH]
        return result.Failure(
            errors.SettingsError(
                f"the configuration can't be read: {reason}", REMEDY
            )
        )
    yield
    checked = structs.convert(
        content, document_lib.RoutesDocument, "the configuration", REMEDY
    )
    return checked.map(
        lambda document: Configuration(
            number, base_number, document, fingerprint, raw
        )
    )


def parse(raw: bytes) -> result.Result[Configuration, errors.Error]:
    """Parses a configuration, or returns why it is invalid."""
    steps = _parse(raw)
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return ended.value


async def parse_in_turns(
    raw: bytes,
) -> result.Result[Configuration, errors.Error]:
    """Parses a configuration like `parse`, in many turns of the event loop.

    Heartbeats and elections would wait for as long as a long one takes.
    """
    steps = _parse(raw)
    while True:
        try:
            next(steps)
        except StopIteration as ended:
            return ended.value
        await anyio.sleep(0)
