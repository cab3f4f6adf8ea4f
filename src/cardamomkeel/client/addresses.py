"""Fetches and caches the entries that calls of a service are sent to."""

import dataclasses

import httpx
import pydantic
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors

# How long an entry may take to return addresses before the next is tried.
FETCH_TIMEOUT_MS = 1000.0


class _AddressesReply(pydantic.BaseModel):
    """The answer of an entry."""

    addresses: list[str]
    keep_ms: float


@dataclasses.dataclass
class _CachedAddresses:
    """Addresses that may be used until they expire, the preferred first."""

    addresses: list[str]
    expires_at: clock.Millis


class AddressCache:
    """Caches the addresses of each service until they expire."""

    def __init__(
        self,
        http: httpx.AsyncClient,
        entries: list[str],
        data_centre: str,
        clk: clock.Clock,
    ):
        """Creates an empty cache.

        Args:
            http: Sends the requests for addresses.
            entries: Addresses at which some entries accept callers, for the
                first fetch.
            data_centre: The data centre of the caller; empty if unknown.
            clk: The clock.
        """
        self._http = http
        self._entries = list(entries)
        self._data_centre = data_centre
        self._clock = clk
        self._cache: dict[str, _CachedAddresses] = {}

    async def get(self, service: str) -> result.Result[list[str], errors.Error]:
        """Returns the addresses for a service, the preferred first."""
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
                f"no entry returned addresses for {service}",
                "name entries that run, and a service of the settings text",
            )
        )

    def _is_current(self, cached: _CachedAddresses) -> bool:
        return self._clock.now() < cached.expires_at

    def _list_entries(self, cached: _CachedAddresses | None) -> list[str]:
        """Returns the entries to query: cached ones, then configured ones."""
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
        """Removes an address that failed from the cache."""
        cached = self._cache.get(service)
        if cached is not None and address in cached.addresses:
            cached.addresses.remove(address)
