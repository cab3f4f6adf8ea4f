"""A caller that requests the addresses of entries and sends calls to them."""

import dataclasses
import time

import httpx

OUTCOME_HEADER = "cardamomkeel-outcome"


@dataclasses.dataclass(frozen=True)
class CallResult:
    """The response to one request; status 0 if there was none."""

    status: int
    outcome: str
    body: bytes
    elapsed_ms: float
    target: str = ""


class Caller:
    """Sends calls to entries and caches their addresses by service."""

    def __init__(
        self,
        entries: list[str],
        data_centre: str = "",
        timeout_s: float = 15.0,
    ):
        self._entries = entries
        self._data_centre = data_centre
        self._cache: dict[str, tuple[float, list[str]]] = {}
        self._http = httpx.Client(
            timeout=timeout_s, trust_env=False, verify=False
        )

    def addresses(self, service: str) -> list[str]:
        """Returns the addresses to use for a service.

        Raises:
            LookupError: No entry answered with addresses.
        """
        until, cached = self._cache.get(service, (0.0, []))
        if time.monotonic() < until:
            return cached
        for entry in self._entries:
            try:
                got = self._http.get(
                    f"http://{entry}/v1/addresses",
                    params={
                        "service": service,
                        "data_centre": self._data_centre,
                    },
                )
            except httpx.HTTPError:
                continue
            if got.status_code == 200 and got.json()["addresses"]:
                answer = got.json()
                until = time.monotonic() + answer["keep_ms"] / 1000
                self._cache[service] = (until, answer["addresses"])
                return answer["addresses"]
        raise LookupError("no entry answers with addresses")

    def call(
        self,
        service: str,
        method: str = "GET",
        path: str = "/",
        key: str = "",
        body: bytes = b"",
        deadline_ms: int = 2000,
        address: str = "",
        headers: dict[str, str] | None = None,
    ) -> CallResult:
        """Sends one request to `address`, or else to an address of the service.

        A connection that can't be opened is reported as "not-run", any other
        connection failure as "unknown".
        """
        sent_headers = {"cardamomkeel-deadline-ms": str(deadline_ms)} | (
            headers or {}
        )
        if key:
            sent_headers["idempotency-key"] = key
        target_address = address or self.addresses(service)[0]
        started = time.monotonic()
        try:
            got = self._http.request(
                method,
                f"http://{target_address}/v1/call/{service}{path}",
                headers=sent_headers,
                content=body,
            )
        except httpx.HTTPError as exc:
            elapsed_ms = (time.monotonic() - started) * 1000
            is_unconnected = isinstance(exc, httpx.ConnectError)
            outcome = "not-run" if is_unconnected else "unknown"
            return CallResult(0, outcome, repr(exc).encode(), elapsed_ms)
        return CallResult(
            got.status_code,
            got.headers.get(OUTCOME_HEADER, ""),
            got.content,
            (time.monotonic() - started) * 1000,
            got.headers.get("cardamomkeel-target", ""),
        )
