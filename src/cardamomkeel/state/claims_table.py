"""The claims of non-idempotent requests, indexed and bounded in size."""

import collections.abc

from cardamomkeel.wire import control_pb2

Key = tuple[str, str]

# Limit of the size of all stored answers together.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
# Limit of the number of claims.
MAX_CLAIMS = 50_000


def _answer_size_bytes(record: control_pb2.ClaimRecord) -> int:
    return record.answer.ByteSize() if record.HasField("answer") else 0


class ClaimsTable:
    """Claims by service and key, in the order of their last change.

    Claims are stored as bytes: as messages they would take several times as
    much memory, and only few of them are ever read. A returned record is a
    copy, so a changed record has to be stored with `put`.

    Attributes:
        answer_bytes: The size of all stored answers.
    """

    def __init__(self):
        self.answer_bytes = 0
        self._rows: dict[Key, bytes] = {}
        self._keys_by_state: dict[int, dict[Key, None]] = {
            state: {} for state in control_pb2.ClaimState.values()
        }
        self._keys_with_answer: dict[Key, None] = {}
        self._running_by_session: dict[int, dict[Key, None]] = {}

    def __len__(self) -> int:
        return len(self._rows)

    def get(self, key: Key) -> control_pb2.ClaimRecord | None:
        """Returns the claim with a key, or None."""
        serialized = self._rows.get(key)
        return (
            None
            if serialized is None
            else control_pb2.ClaimRecord.FromString(serialized)
        )

    def rows(self) -> collections.abc.Iterable[bytes]:
        """Returns all claims as bytes, least recently changed first."""
        return self._rows.values()

    def _read(
        self, keys: collections.abc.Iterable[Key]
    ) -> collections.abc.Iterator[control_pb2.ClaimRecord]:
        for key in keys:
            yield control_pb2.ClaimRecord.FromString(self._rows[key])

    def get_by_state(self, state: int) -> list[control_pb2.ClaimRecord]:
        """Returns the claims in a state, least recently changed first."""
        return list(self._read(self._keys_by_state[state]))

    def get_changed_before(
        self, state: int, log_ms: int
    ) -> list[control_pb2.ClaimRecord]:
        """Returns the claims in a state that last changed before a time."""
        return self._read_changed_before(self._keys_by_state[state], log_ms)

    def _read_changed_before(
        self, keys: collections.abc.Iterable[Key], log_ms: int
    ) -> list[control_pb2.ClaimRecord]:
        """Returns the leading claims that last changed before a time."""
        records = []
        for record in self._read(keys):
            if record.changed_log_ms >= log_ms:
                break
            records.append(record)
        return records

    def get_running(self, session: int) -> list[control_pb2.ClaimRecord]:
        """Returns the running claims of a session."""
        return list(self._read(self._running_by_session.get(session, {})))

    def get_with_answer_before(
        self, log_ms: int
    ) -> list[control_pb2.ClaimRecord]:
        """Returns the claims whose answers were stored before a time."""
        return self._read_changed_before(self._keys_with_answer, log_ms)

    def load(self, serialized: bytes) -> None:
        """Stores a serialized claim."""
        self._add(control_pb2.ClaimRecord.FromString(serialized), serialized)

    def put(self, record: control_pb2.ClaimRecord) -> None:
        """Stores a claim, and drops the oldest answers above the size limit."""
        self._add(record, record.SerializeToString())
        while self.answer_bytes > MAX_ANSWER_BYTES:
            self.drop_answer(next(iter(self._keys_with_answer)))

    def _add(self, record: control_pb2.ClaimRecord, serialized: bytes) -> None:
        key = (record.service, record.key)
        self.remove(key)
        self._rows[key] = serialized
        self._keys_by_state[record.state][key] = None
        if record.state == control_pb2.CLAIM_RUNNING:
            self._running_by_session.setdefault(record.session, {})[key] = None
        size = _answer_size_bytes(record)
        if size:
            self._keys_with_answer[key] = None
            self.answer_bytes += size

    def drop_answer(self, key: Key) -> None:
        """Deletes the answer of a claim and marks it as dropped."""
        record = self.get(key)
        self.answer_bytes -= _answer_size_bytes(record)
        del self._keys_with_answer[key]
        record.ClearField("answer")
        record.answer_dropped = True
        self._rows[key] = record.SerializeToString()

    def remove(self, key: Key) -> None:
        """Deletes a claim."""
        record = self.get(key)
        if record is None:
            return
        del self._rows[key]
        del self._keys_by_state[record.state][key]
        if key in self._keys_with_answer:
            del self._keys_with_answer[key]
            self.answer_bytes -= _answer_size_bytes(record)
        running = self._running_by_session.get(record.session, {})
        running.pop(key, None)
        if not running:
            self._running_by_session.pop(record.session, None)

    def ensure_capacity(self) -> bool:
        """Returns whether one more claim fits; may delete a released one."""
        if len(self._rows) < MAX_CLAIMS:
            return True
        released = self._keys_by_state[control_pb2.CLAIM_RELEASED]
        if not released:
            return False
        self.remove(next(iter(released)))
        return True
