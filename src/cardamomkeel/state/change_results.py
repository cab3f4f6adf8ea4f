"""Stored results of operators' changes, so that resends are idempotent."""

import collections
import collections.abc
import dataclasses
import hashlib

from cardamomkeel.wire import control_pb2

# With 39,000 changes a day (docs/CAPACITY.md) a result is kept for six hours.
MAX_CHANGE_RESULTS = 10_000
# Long enough that two changes never have the same fingerprint by chance.
FINGERPRINT_BYTES = 16

OK = control_pb2.STATUS_OK
REFUSED = control_pb2.STATUS_REFUSED


@dataclasses.dataclass(frozen=True, slots=True)
class _StoredResult:
    """The stored part of the result of a change."""

    revision: int
    version: int
    claim: int
    fingerprint: bytes


def make_fingerprint(*parts: str) -> bytes:
    """Returns a hash that identifies the content of a change."""
    digest = hashlib.sha256("\0".join(parts).encode()).digest()
    return digest[:FINGERPRINT_BYTES]


class ChangeResults:
    """Results of the newest accepted changes, by change id."""

    def __init__(self):
        self._results: collections.OrderedDict[str, _StoredResult] = (
            collections.OrderedDict()
        )

    def find(
        self, change_id: str, fingerprint: bytes
    ) -> control_pb2.CommandResult | None:
        """Returns the result of a change id that was used before, or None.

        The result is a refusal if the id was used for another change.
        """
        stored = self._results.get(change_id)
        if stored is None:
            return None
        # Results stored by earlier versions of the program have no
        # fingerprint.
        if stored.fingerprint and stored.fingerprint != fingerprint:
            return control_pb2.CommandResult(
                status=REFUSED,
                message=(
                    f"change id {change_id} was used for another change, "
                    f"accepted as revision {stored.revision}; this one was not "
                    "made: send it with an id of its own"
                ),
            )
        return _make_result(stored)

    def put(
        self,
        change_id: str,
        fingerprint: bytes,
        result: control_pb2.CommandResult,
    ) -> None:
        """Stores the result of an accepted change."""
        if not change_id:
            return
        self._store(change_id, result, fingerprint[:FINGERPRINT_BYTES])

    def _store(
        self,
        change_id: str,
        result: control_pb2.CommandResult,
        fingerprint: bytes,
    ) -> None:
        self._results[change_id] = _StoredResult(
            result.revision, result.version, result.claim, fingerprint
        )
        while len(self._results) > MAX_CHANGE_RESULTS:
            self._results.popitem(last=False)

    def save(self) -> list[control_pb2.ChangeResult]:
        """Returns all results as messages."""
        return [
            control_pb2.ChangeResult(
                change_id=change_id,
                result=_make_result(stored),
                fingerprint=stored.fingerprint,
            )
            for change_id, stored in self._results.items()
        ]

    def load(
        self, saved: collections.abc.Iterable[control_pb2.ChangeResult]
    ) -> None:
        """Replaces all results by those of the messages."""
        self._results.clear()
        for change in saved:
            self._store(change.change_id, change.result, change.fingerprint)


def _make_result(stored: _StoredResult) -> control_pb2.CommandResult:
    return control_pb2.CommandResult(
        status=OK,
        revision=stored.revision,
        version=stored.version,
        claim=stored.claim,
    )
