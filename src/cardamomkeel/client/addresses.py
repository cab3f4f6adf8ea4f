"""Which entries to send the calls of a service to."""

import dataclasses

import httpx
import pydantic
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors

# How long an entry may take to name entries, before the next one is asked.
ASK_TIMEOUT_MS = 1000.0


class _Answer(pydantic.BaseModel):
    """What an entry answers."""

    addresses: list[str]
    keep_ms: float


@dataclasses.dataclass
class _Kept:
    """Addresses that may be used until a time, the best first."""

    addresses: list[str]
    until: clock.Millis


class Addresses:
    """Keeps the addresses of each service for as long as it may."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        entries: list[str],
        data_centre: str,
        clk: clock.Clock,
    ):
        """Makes an empty set of answers.

        Args:
            http: Sends the questions.
            entries: Callers' addresses of some entries to begin with.
            data_centre: Where the caller is; empty for not known.
            clk: The clock.
        """
        self._http = http
        self._entries = list(entries)
        self._data_centre = data_centre
        self._clock = clk
        self._kept: dict[str, _Kept] = {}

    async def get(self, service: str) -> result.Result[list[str], errors.Error]:
        """Returns the addresses for a service, the best first."""
        kept = self._kept.get(service)
        if kept is not None and kept.addresses and self._is_valid(kept):
            return result.Success(list(kept.addresses))
        for entry in self._list_known(kept):
            asked_at = self._clock.now()
            answer = await self._ask(entry, service)
            if answer is not None and answer.addresses:
                until = asked_at + answer.keep_ms
                self._kept[service] = _Kept(answer.addresses, until)
                return result.Success(list(answer.addresses))
        return result.Failure(
            errors.UnavailableError(
                f"no entry tells addresses for {service}",
                "name entries that run, and a service of the settings text",
            )
        )

    def _is_valid(self, kept: _Kept) -> bool:
        return self._clock.now() < kept.until

    def _list_known(self, kept: _Kept | None) -> list[str]:
        """Returns whom to ask: those named by an answer, then the others."""
        named = [] if kept is None else kept.addresses
        return [*named, *(e for e in self._entries if e not in named)]

    async def _ask(self, entry: str, service: str) -> _Answer | None:
        query = {"service": service, "data_centre": self._data_centre}
        try:
            got = await self._http.get(
                f"http://{entry}/v1/addresses",
                params=query,
                timeout=clock.seconds(ASK_TIMEOUT_MS),
            )
            if got.status_code != httpx.codes.OK:
                return None
            return _Answer.model_validate_json(got.content)
        except (httpx.HTTPError, pydantic.ValidationError):
            return None

    def drop(self, service: str, address: str) -> None:
        """Forgets an address that did not serve, until the next answer."""
        kept = self._kept.get(service)
        if kept is not None and address in kept.addresses:
            kept.addresses.remove(address)
