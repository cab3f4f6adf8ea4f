"""A caller that asks which entries to use and connects there."""

import dataclasses
import time

import httpx

OUTCOME = "cardamomkeel-outcome"


@dataclasses.dataclass(frozen=True)
class Got:
    """What a caller was told of one request."""

    status: int
    outcome: str
    body: bytes
    elapsed_ms: float
    target: str = ""


class Caller:
    """Keeps an address answer for as long as it may be kept."""

    def __init__(
        self,
        entries: list[str],
        data_centre: str = "",
        timeout_s: float = 15.0,
    ):
        self._entries = entries
        self._data_centre = data_centre
        self._kept: dict[str, tuple[float, list[str]]] = {}
        self._http = httpx.Client(
            timeout=timeout_s, trust_env=False, verify=False
        )

    def addresses(self, service: str) -> list[str]:
        """Returns the addresses to use for a service."""
        until, kept = self._kept.get(service, (0.0, []))
        if time.monotonic() < until:
            return kept
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
                self._kept[service] = (until, answer["addresses"])
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
    ) -> Got:
        """Sends one request to one entry."""
        sent = {"cardamomkeel-deadline-ms": str(deadline_ms)} | (headers or {})
        if key:
            sent["idempotency-key"] = key
        where = address or self.addresses(service)[0]
        started = time.monotonic()
        try:
            got = self._http.request(
                method,
                f"http://{where}/v1/call/{service}{path}",
                headers=sent,
                content=body,
            )
        except httpx.HTTPError as exc:
            elapsed_ms = (time.monotonic() - started) * 1000
            sent_nothing = isinstance(exc, httpx.ConnectError)
            outcome = "not-run" if sent_nothing else "unknown"
            return Got(0, outcome, repr(exc).encode(), elapsed_ms)
        return Got(
            got.status_code,
            got.headers.get(OUTCOME, ""),
            got.content,
            (time.monotonic() - started) * 1000,
            got.headers.get("cardamomkeel-target", ""),
        )
