"""Keeps one estimate for each route."""

import collections.abc
import typing

# Number of routes whose estimates are kept. Above it all are dropped, and
# learned again.
MAX_ROUTES = 1000

Estimate = typing.TypeVar("Estimate")


class ByRoute(typing.Generic[Estimate]):
    """Estimates by the host and the prefix of their route."""

    def __init__(self, make: collections.abc.Callable[[], Estimate]):
        """Creates an empty collection.

        Args:
            make: Creates the estimate of a route that has none.
        """
        self._make = make
        self._estimates: dict[tuple[str, str], Estimate] = {}

    def get(self, host: str, prefix: str) -> Estimate:
        """Returns the estimate of a route."""
        found = self._estimates.get((host, prefix))
        if found is None:
            if len(self._estimates) >= MAX_ROUTES:
                self._estimates.clear()
            found = self._estimates[host, prefix] = self._make()
        return found
