"""Answers callers' lookups of entries and the platform's readiness checks."""

import collections.abc
import urllib.parse

import orjson

from cardamomkeel import clock
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.gateway import messages
from cardamomkeel.policy import entry_choice
from cardamomkeel.routing import session as session_lib

RESOLVE = "/-/resolve"
READY = "/-/ready"

_JSON = (b"Content-Type", b"application/json")


class Directory:
    """Answers callers that look up the addresses of entries."""

    def __init__(
        self,
        session: session_lib.Session,
        gossip: gossip_lib.Gossip,
        keep_ms: clock.Millis,
    ):
        self._session = session
        self._gossip = gossip
        self._keep_ms = keep_ms

    async def handle(self, req: messages.Request) -> messages.Response:
        """Handles one request."""
        if req.path != RESOLVE:
            return messages.Response(404)
        query = urllib.parse.parse_qs(req.target.partition("?")[2])
        zone = query.get("zone", [""])[0]
        addresses = entry_choice.choose(
            self._session.view.entries.values(),
            zone,
            self._gossip.is_unresponsive,
            self._session.view.is_data_centre_out_of_service,
        )
        if not addresses:
            return messages.Response(503)
        body = {
            "addresses": addresses,
            "ttl-s": clock.seconds(self._keep_ms),
        }
        return messages.Response(200, [_JSON], orjson.dumps(body))


class Readiness:
    """Answers the platform whether this entry accepts callers."""

    def __init__(self, is_ready: collections.abc.Callable[[], bool]):
        self._is_ready = is_ready

    async def handle(self, req: messages.Request) -> messages.Response:
        """Handles one request."""
        if req.path != READY:
            return messages.Response(404)
        return messages.Response(200 if self._is_ready() else 503)
