"""Sends steady load from several callers and records each response."""

import dataclasses
import itertools
import threading
import time

from bench import caller as caller_lib

PAUSE_S = 0.01
# Marks a request as the first attempt: callers send each request once.
FIRST_ATTEMPT = {"cardamomkeel-attempt": "1"}


@dataclasses.dataclass(frozen=True)
class Call:
    """One request and its result.

    Attributes:
        started: When the request was sent, in seconds since the epoch.
        key: The idempotency key; empty for a lookup.
        got: The response.
    """

    started: float
    service: str
    entry: str
    key: str
    got: caller_lib.CallResult


class Load:
    """Callers that send lookups and bookings until they are stopped.

    Attributes:
        calls: All completed calls.
    """

    def __init__(
        self,
        entries: dict[str, str],
        lookups: str,
        bookings: str,
        callers: int = 6,
        fixed: bool = True,
    ):
        """Prepares the callers.

        Args:
            entries: Callers' addresses by name of the entry.
            lookups: The service that receives lookups.
            bookings: The service that receives bookings; not idempotent.
            callers: The number of callers.
            fixed: Whether each caller sends to one entry only; otherwise
                callers use the addresses that entries return.
        """
        self.calls: list[Call] = []
        self._entries = entries
        self._services = (lookups, bookings)
        self._fixed = fixed
        self._stopped = threading.Event()
        self._number = itertools.count()
        names = list(entries)
        self._threads = [
            threading.Thread(target=self._run, args=(names[i % len(names)],))
            for i in range(callers)
        ]

    def start(self) -> None:
        """Starts all callers."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> list[Call]:
        """Stops all callers after their last response; returns the calls."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        return self.calls

    def _run(self, entry: str) -> None:
        caller = caller_lib.Caller(list(self._entries.values()))
        while not self._stopped.is_set():
            self._call(caller, entry, self._services[0], "")
            self._call(caller, entry, self._services[1], "booking")
            time.sleep(PAUSE_S)

    def _call(
        self, caller: caller_lib.Caller, entry: str, service: str, prefix: str
    ) -> None:
        key = f"{prefix}-{next(self._number)}" if prefix else ""
        address = self._entries[entry] if self._fixed else ""
        started = time.time()
        got = caller.call(
            service,
            "POST",
            "/load",
            key=key,
            body=b"{}",
            address=address,
            headers=FIRST_ATTEMPT,
        )
        self.calls.append(Call(started, service, entry, key, got))


def list_not_answered(calls: list[Call]) -> list[Call]:
    """Returns the calls that no backend server answered."""
    return [call for call in calls if call.got.outcome != "answered"]
