"""Which entries to send the calls of a service to."""

import dataclasses

import httpx
import pydantic
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors

# How long an entry may take to name entries, before the next one is asked.
FETCH_TIMEOUT_MS = 1000.0


class _AddressesReply(pydantic.BaseModel):
    """What an entry answers."""

    addresses: list[str]
    keep_ms: float


@dataclasses.dataclass
class _CachedAddresses:
    """Addresses that may be used until a time, the best first."""

    addresses: list[str]
    expires_at: clock.Millis


class AddressCache:
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
        self._cache: dict[str, _CachedAddresses] = {}

    async def get(self, service: str) -> result.Result[list[str], errors.Error]:
        """Returns the addresses for a service, the best first."""
        cached = self._cache.get(service)
        if cached is not None and cached.addresses and self._is_current(cached):
            return result.Success(list(cached.addresses))
        for entry in self._list_entries(cached):
            requested_at = self._clock.now()
            answer = await self._fetch(entry, service)
            if answer is not None and answer.addresses:
                expires_at = requested_at + answer.keep_ms
                self._cache[service] = _CachedAddresses(
                    answer.addresses, expires_at
                )
                return result.Success(list(answer.addresses))
        return result.Failure(
            errors.UnavailableError(
                f"no entry tells addresses for {service}",
                "name entries that run, and a service of the settings text",
            )
        )

    def _is_current(self, cached: _CachedAddresses) -> bool:
        return self._clock.now() < cached.expires_at

    def _list_entries(self, cached: _CachedAddresses | None) -> list[str]:
        """Returns whom to ask: those named by an answer, then the others."""
        cached_addresses = [] if cached is None else cached.addresses
        return [
            *cached_addresses,
            *(e for e in self._entries if e not in cached_addresses),
        ]

    async def _fetch(self, entry: str, service: str) -> _AddressesReply | None:
        query = {"service": service, "data_centre": self._data_centre}
        try:
            response = await self._http.get(
                f"http://{entry}/v1/addresses",
                params=query,
                timeout=clock.seconds(FETCH_TIMEOUT_MS),
            )
            if response.status_code != httpx.codes.OK:
                return None
            return _AddressesReply.model_validate_json(response.content)
        except (httpx.HTTPError, pydantic.ValidationError):
            return None

    def remove(self, service: str, address: str) -> None:
        """Forgets an address that did not serve, until the next answer."""
        cached = self._cache.get(service)
        if cached is not None and address in cached.addresses:
            cached.addresses.remove(address)
