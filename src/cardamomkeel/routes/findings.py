"""Finds what is valid in routes and yet can't be meant.

These are entries that can never match, and limits that contradict each other.
"""

import collections.abc
import dataclasses
import re

from cardamomkeel.routes import document as document_lib
from cardamomkeel.settings import positions

# Requests with other characters in their host or path match no route: an entry
# reads a host as ASCII and rejects such paths.
_HOST = re.compile(r"[A-Za-z0-9._~%!$&'()*+;=\[\]:-]+")
_VISIBLE = re.compile(r"[\x21-\x7e]+")
# "Authorization: Bearer " and a key with 64 bits of randomness.
MIN_HEADER_BYTES = 38


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """One place in valid routes that needs attention.

    Attributes:
        path: The names and indexes that lead to it in the document.
        message: What is found.
        remedy: What to do.
    """

    path: positions.Path
    message: str
    remedy: str


def find(document: document_lib.RoutesDocument) -> list[Finding]:
    """Returns everything in routes that needs attention, in their order."""
    return [
        *_check_routes(document),
        *_check_services(document),
        *_check_accounts(document),
        *_check_limits(document.limits),
    ]


def _check_routes(
    document: document_lib.RoutesDocument,
) -> collections.abc.Iterator[Finding]:
    for index, route in enumerate(document.routes):
        for field, message, remedy in _check_route(route):
            name = f"{route.host}{route.prefix}"
            yield Finding(
                ("routes", index, field),
                f"the route {name} {message}",
                remedy,
            )


def _check_route(
    route: document_lib.Route,
) -> collections.abc.Iterator[tuple[str, str, str]]:
    """Yields the field, the message and the remedy of each finding."""
    if not _HOST.fullmatch(route.host):
        yield (
            "host",
            "can never match: no caller can send its host",
            "write the host as in the header Host, without scheme or path",
        )
    if not _VISIBLE.fullmatch(route.prefix):
        yield (
            "prefix",
            "can never match: paths hold visible ASCII characters only",
            "write the prefix with percent-encoded characters",
        )
    if not any(part.weight for part in route.parts):
        yield (
            "parts",
            "reaches no service: all its weights are 0",
            "give a part a weight, or remove the route",
        )
    if route.objective_ms > route.timeout_ms:
        yield (
            "objective_ms",
            "has an objective above its timeout",
            "lower objective_ms or raise timeout_ms",
        )


def _check_services(
    document: document_lib.RoutesDocument,
) -> collections.abc.Iterator[Finding]:
    used = {
        part.service
        for route in document.routes
        for part in route.parts
        if part.weight
    }
    for name, service in document.services.items():
        if name not in used:
            yield Finding(
                ("services", name),
                f"no route sends requests to the service {name}",
                "name it in a route with a weight, or remove it",
            )
        if service.cold_ms and service.cold_per_s == 0:
            yield Finding(
                ("services", name, "cold_per_s"),
                f"a target of {name} gets no request in its cold start",
                "raise cold_per_s, or set cold_ms to 0",
            )


def _check_accounts(
    document: document_lib.RoutesDocument,
) -> collections.abc.Iterator[Finding]:
    if document.accounts is None:
        return
    if all(route.keyless for route in document.routes):
        yield Finding(
            ("accounts",),
            "no route needs the keys of the accounts",
            "set keyless to false in the routes that do, or remove them",
        )
    for index, account in enumerate(document.accounts):
        path = ("accounts", index)
        if not account.key_digests:
            yield Finding(
                path,
                f"the account {account.name} has no key",
                "add a key, or remove the account",
            )
        if account.burst and not account.rate_per_s:
            yield Finding(
                (*path, "burst"),
                f"the account {account.name} has a burst and no rate, which "
                "is no limit",
                "set rate_per_s, or remove burst",
            )
        elif account.rate_per_s and account.rate_per_s + account.burst < 1:
            yield Finding(
                (*path, "rate_per_s"),
                f"the limit of the account {account.name} admits less than "
                "one request in a second",
                "raise rate_per_s or burst",
            )


def _check_limits(
    limits: document_lib.CallerLimits,
) -> collections.abc.Iterator[Finding]:
    if limits.header_bytes < MIN_HEADER_BYTES:
        yield Finding(
            ("limits", "header_bytes"),
            f"header_bytes is below the {MIN_HEADER_BYTES} bytes of a key",
            "raise header_bytes",
        )
    if limits.header_ms > limits.idle_ms:
        yield Finding(
            ("limits", "header_ms"),
            "a header may take longer than a connection may stay unused",
            "lower header_ms or raise idle_ms",
        )
