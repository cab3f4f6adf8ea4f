"""Lists entries for callers and accepts announcements over HTTP."""

import urllib.parse

import orjson
from returns import result

from cardamomkeel import errors
from cardamomkeel.gateway import announcements as announcements_lib
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.gateway import messages
from cardamomkeel.policy import entry_choice
from cardamomkeel.routing import session as session_lib

ADDRESSES = "/v1/addresses"
ANNOUNCE = "/v1/announce"

_JSON = (b"Content-Type", b"application/json")


def _answer(status: int, body: object) -> messages.Response:
    return messages.Response(status, [_JSON], orjson.dumps(body))


def _reject(error: errors.Error, status: int) -> messages.Response:
    body = {
        "kind": error.kind,
        "message": error.message,
        "remedy": error.remedy,
    }
    return _answer(status, body)


class Directory:
    """Handles the requests for entry addresses and the announcements."""

    def __init__(
        self,
        session: session_lib.Session,
        gossip: gossip_lib.Gossip,
        announcements: announcements_lib.Announcements,
        keep_ms: int,
    ):
        self._session = session
        self._gossip = gossip
        self._announcements = announcements
        self._keep_ms = keep_ms

    async def handle(self, req: messages.Request) -> messages.Response:
        """Returns the response to a request for either path."""
        if req.path == ADDRESSES and req.method == "GET":
            return self._list_addresses(req)
        if req.path == ANNOUNCE and req.method == "POST":
            return await self._announce(req)
        return _reject(
            errors.RequestError(
                f"there is no {req.method} {req.path}", "see docs/routes.md"
            ),
            404,
        )

    def _list_addresses(self, req: messages.Request) -> messages.Response:
        query = urllib.parse.parse_qs(req.target.partition("?")[2])
        found = entry_choice.choose(
            self._session.view.entries.values(),
            query.get("data_centre", [""])[0],
            self._gossip.is_unresponsive,
            self._session.view.is_data_centre_out_of_service,
        )
        if not found:
            return _reject(
                errors.UnavailableError(
                    "this entry knows no entries yet", "ask another one"
                ),
                503,
            )
        return _answer(200, {"addresses": found, "keep_ms": self._keep_ms})

    async def _announce(self, req: messages.Request) -> messages.Response:
        handled = await self._announcements.handle(bytes(req.body))
        if isinstance(handled, result.Success):
            return _answer(
                200, {"every_ms": announcements_lib.ANNOUNCE_INTERVAL_MS}
            )
        error = handled.failure()
        return _reject(error, error.status)
