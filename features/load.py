"""Steady load from many callers, and what each of them got."""

import dataclasses
import itertools
import threading
import time

from bench import caller as caller_lib

PAUSE_S = 0.01
# Each request is sent once.
FIRST_ATTEMPT = {"cardamomkeel-attempt": "1"}


@dataclasses.dataclass(frozen=True)
class Call:
    """One request and its end.

    Attributes:
        started: When it was sent, in seconds since the epoch.
        key: Its idempotency key; empty for a lookup.
    """

    started: float
    service: str
    entry: str
    key: str
    got: caller_lib.CallResult


class Load:
    """Callers that send lookups and bookings until they are stopped.

    Attributes:
        calls: All calls that have ended.
    """

    def __init__(
        self,
        entries: dict[str, str],
        lookups: str,
        bookings: str,
        callers: int = 6,
        fixed: bool = True,
    ):
        """Makes a load.

        Args:
            entries: Callers' addresses by name of the entry.
            lookups: The service that is looked things up in.
            bookings: The service that is not idempotent.
            callers: How many callers there are.
            fixed: Whether each caller stays with one entry; else it uses
                the addresses that it is told.
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
        """Ends all callers after their last answer."""
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
    """Returns the calls that got no answer of a backend server."""
    return [call for call in calls if call.got.outcome != "answered"]
