"""Limits the length of a request's body by what its kind needs.

Decoded JSON takes many times the memory of its text, so a body that is decoded
may be far shorter than one that is passed on.
"""

import typing

# An announcement, a heartbeat or an order has some hundred bytes.
SHORT_BODY_BYTES = 16_384


class BodyLimits(typing.Protocol):
    """Knows how long the body of each kind of request may be."""

    def get_limit(self, method: str, path: str) -> int:
        """Returns the limit in bytes.

        Args:
            method: The HTTP method.
            path: The path without its query.
        """
        ...


class ShortBodies:
    """Allows short bodies, for servers that pass none on."""

    def get_limit(self, method: str, path: str) -> int:
        """Returns the limit in bytes."""
        return SHORT_BODY_BYTES
