"""Finds the route of a request and selects one of its services."""

import random

from cardamomkeel.accounts import directory as directory_lib
from cardamomkeel.routes import document as document_lib


class RouteTable:
    """The routes in force, by host and prefix.

    Attributes:
        document: The routes as operators wrote them; None for none.
        number: The number of the document; 0 for none.
        limits: The limits for callers.
        accounts: The client accounts; None if requests need no keys.
    """

    def __init__(
        self, document: document_lib.RoutesDocument | None, number: int
    ):
        self.document = document
        self.number = number
        self.limits = (
            document_lib.CallerLimits() if document is None else document.limits
        )
        self.accounts: directory_lib.Directory | None = None
        if document is not None and document.accounts is not None:
            self.accounts = directory_lib.Directory(document.accounts)
        self._hosts: dict[str, list[document_lib.Route]] = {}
        for route in document.routes if document else ():
            self._hosts.setdefault(route.host.lower(), []).append(route)
        for routes in self._hosts.values():
            routes.sort(key=lambda route: -len(route.prefix))

    def match(self, host: str, path: str) -> document_lib.Route | None:
        """Returns the route with the longest prefix of a path.

        Args:
            host: The host of the request, with or without a port.
            path: The path, without its query.
        """
        name = host.lower()
        routes = self._hosts.get(name)
        if routes is None:
            routes = self._hosts.get(name.rpartition(":")[0], ())
        for route in routes:
            if path.startswith(route.prefix):
                return route
        return None

    def get_service(self, name: str) -> document_lib.RoutedService | None:
        """Returns the settings of a service, or None."""
        if self.document is None:
            return None
        return self.document.services.get(name)


def pick_service(route: document_lib.Route, rng: random.Random) -> str | None:
    """Selects a service at random by weight; None if all weights are 0."""
    if len(route.parts) == 1:
        return route.parts[0].service
    total = sum(part.weight for part in route.parts)
    if total <= 0:
        return None
    remaining = rng.random() * total
    chosen = None
    for part in route.parts:
        if part.weight <= 0:
            continue
        chosen = part.service
        remaining -= part.weight
        if remaining < 0:
            break
    return chosen
