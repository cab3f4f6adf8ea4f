"""Sends calls to entries and retries them if that is safe."""

import dataclasses

import anyio
import httpx
from returns import result

from cardamomkeel import clock
from cardamomkeel.client import addresses as addresses_lib
from cardamomkeel.client import calls
from cardamomkeel.policy import budget
from cardamomkeel.routing import messages

# The first attempt, and one retry at each of three other entries.
MAX_ATTEMPTS = 4
# Retries as a share of calls; entries limit their own retries to the same.
RETRY_SHARE = 0.2
# The pause before each retry, long enough to detect a broken connection.
RETRY_DELAY_MS = 25.0

NOT_RUN = messages.Outcome.NOT_RUN
UNKNOWN = messages.Outcome.UNKNOWN
_SAFE_METHODS = frozenset(["GET", "HEAD"])


class Client:
    """Calls services through the entries that the system announces.

    A call that did not run is retried through another entry. A call whose
    outcome is unknown is retried only if it has an idempotency key or a safe
    method. A budget limits retries, so that they do not amplify an overload.
    """

    def __init__(
        self, entries: list[str], clk: clock.Clock, data_centre: str = ""
    ):
        """Creates a client without open connections.

        Args:
            entries: Callers' addresses of some entries to begin with.
            clk: The clock.
            data_centre: The data centre of the caller; empty if unknown.
        """
        limits = httpx.Limits(max_connections=None)
        self._http = httpx.AsyncClient(trust_env=False, limits=limits)
        self._clock = clk
        self._addresses = addresses_lib.AddressCache(
            self._http, entries, data_centre, clk
        )
        self._retry_budgets: dict[str, budget.ShareBudget] = {}

    async def close(self) -> None:
        """Closes all connections."""
        await self._http.aclose()

    async def call(self, call: calls.Call) -> calls.Reply:
        """Sends a call, retries it if needed, and returns its result."""
        deadline = self._clock.now() + call.deadline_ms
        self._get_retry_budget(call.service).record_request()
        attempts = 0
        reply = calls.Reply(NOT_RUN, reason="the deadline is over")
        may_have_run = False
        while self._clock.now() < deadline and attempts < MAX_ATTEMPTS:
            if (
                attempts
                and not self._get_retry_budget(call.service).try_acquire()
            ):
                break
            attempts += 1
            reply = await self._send_once(call, deadline, attempts)
            if reply.outcome is messages.Outcome.ANSWERED:
                break
            may_have_run = may_have_run or reply.outcome is UNKNOWN
            if not _may_retry(call, reply):
                break
            await anyio.sleep(clock.seconds(RETRY_DELAY_MS))
        if may_have_run and reply.outcome is NOT_RUN:
            # Only the last attempt is known not to have run.
            reply = dataclasses.replace(reply, outcome=UNKNOWN)
        return dataclasses.replace(reply, attempts=attempts)

    def _get_retry_budget(self, service: str) -> budget.ShareBudget:
        retry_budget = self._retry_budgets.get(service)
        if retry_budget is None:
            retry_budget = budget.ShareBudget(RETRY_SHARE)
            self._retry_budgets[service] = retry_budget
        return retry_budget

    async def _send_once(
        self, call: calls.Call, deadline: clock.Millis, attempt: int
    ) -> calls.Reply:
        addresses = await self._addresses.get(call.service)
        if not isinstance(addresses, result.Success):
            return calls.Reply(NOT_RUN, reason=str(addresses.failure()))
        address = addresses.unwrap()[0]
        reply = await self._exchange(call, address, deadline, attempt)
        if reply.outcome is not messages.Outcome.ANSWERED:
            self._addresses.remove(call.service, address)
        return reply

    async def _exchange(
        self,
        call: calls.Call,
        address: str,
        deadline: clock.Millis,
        attempt: int,
    ) -> calls.Reply:
        remaining_ms = max(1.0, deadline - self._clock.now())
        try:
            response = await self._http.request(
                call.method,
                f"http://{address}/v1/call/{call.service}{call.path}",
                content=call.body,
                headers=_make_headers(call, remaining_ms, attempt),
                timeout=clock.seconds(remaining_ms),
            )
        except (httpx.ConnectError, httpx.ConnectTimeout) as exc:
            return calls.Reply(NOT_RUN, reason=f"{address}: {exc!r}")
        except httpx.HTTPError as exc:
            return calls.Reply(UNKNOWN, reason=f"{address}: {exc!r}")
        headers = {
            name.lower(): value for name, value in response.headers.items()
        }
        return calls.Reply(
            _read_outcome(headers),
            response.status_code,
            headers,
            response.content,
        )


def _may_retry(call: calls.Call, reply: calls.Reply) -> bool:
    if 400 <= reply.status < 500:
        # The entry rejected the content of the call; a retry has the same.
        return False
    if reply.outcome is NOT_RUN:
        return True
    return bool(call.key) or call.method in _SAFE_METHODS


def _make_headers(
    call: calls.Call, remaining_ms: clock.Millis, attempt: int
) -> dict[str, str]:
    headers = dict(call.headers)
    headers[messages.DEADLINE.decode()] = str(max(1, int(remaining_ms)))
    if call.key:
        headers[messages.IDEMPOTENCY_KEY.decode()] = call.key
        headers[messages.ATTEMPT.decode()] = str(attempt)
    return headers


def _read_outcome(headers: dict[str, str]) -> messages.Outcome:
    """Returns the outcome in the headers of an answer, UNKNOWN if none."""
    try:
        return messages.Outcome(headers.get(messages.OUTCOME.decode(), ""))
    except ValueError:
        return UNKNOWN
