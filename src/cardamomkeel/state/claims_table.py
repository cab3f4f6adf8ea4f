"""The claims of non-idempotent requests, indexed and bounded in size."""

import collections
import collections.abc

from cardamomkeel.wire import control_pb2

Key = tuple[str, str]

# The bodies of kept answers may take this much in all.
MAX_ANSWER_BYTES = 4 * 1024 * 1024
MAX_CLAIMS = 50_000


def _size(record: control_pb2.ClaimRecord) -> int:
    return record.answer.ByteSize() if record.HasField("answer") else 0


class ClaimsTable:
    """Claims by service and key, in the order of their last change.

    A record that was changed has to be put again.

    Attributes:
        answer_bytes: The size of all kept answers.
    """

    def __init__(self):
        self.answer_bytes = 0
        self._claims: dict[Key, control_pb2.ClaimRecord] = {}
        self._states: dict[Key, int] = {}
        self._sizes: collections.OrderedDict[Key, int] = (
            collections.OrderedDict()
        )
        self._by_state: dict[int, dict[Key, None]] = {
            state: {} for state in control_pb2.ClaimState.values()
        }
        self._running: dict[int, dict[Key, None]] = {}

    def __len__(self) -> int:
        return len(self._claims)

    def get(self, key: Key) -> control_pb2.ClaimRecord | None:
        """Returns the claim of a key, or None."""
        return self._claims.get(key)

    def values(self) -> collections.abc.Iterable[control_pb2.ClaimRecord]:
        """Returns all claims, the longest unchanged first."""
        return self._claims.values()

    def get_by_state(self, state: int) -> list[control_pb2.ClaimRecord]:
        """Returns the claims of one state, the longest unchanged first."""
        return [self._claims[key] for key in self._by_state[state]]

    def get_changed_before(
        self, state: int, log_ms: int
    ) -> list[control_pb2.ClaimRecord]:
        """Returns the claims of one state not changed since a time."""
        found = []
        for key in self._by_state[state]:
            if self._claims[key].changed_log_ms >= log_ms:
                break
            found.append(self._claims[key])
        return found

    def get_running(self, session: int) -> list[control_pb2.ClaimRecord]:
        """Returns the claims that the entry of a session runs."""
        return [self._claims[key] for key in self._running.get(session, {})]

    def get_with_answer_before(
        self, log_ms: int
    ) -> list[control_pb2.ClaimRecord]:
        """Returns the claims whose answers were kept before a time."""
        found = []
        for key in self._sizes:
            if self._claims[key].changed_log_ms >= log_ms:
                break
            found.append(self._claims[key])
        return found

    def put(self, record: control_pb2.ClaimRecord) -> None:
        """Writes a claim, and drops old answers where there are too many."""
        key = (record.service, record.key)
        self.remove(key)
        self._claims[key] = record
        self._states[key] = record.state
        self._by_state[record.state][key] = None
        if record.state == control_pb2.CLAIM_RUNNING:
            self._running.setdefault(record.session, {})[key] = None
        size = _size(record)
        if size:
            self._sizes[key] = size
            self.answer_bytes += size
        while self.answer_bytes > MAX_ANSWER_BYTES:
            self.drop_answer(next(iter(self._sizes)))

    def drop_answer(self, key: Key) -> None:
        """Forgets the answer of a claim, but not that there was one."""
        record = self._claims[key]
        record.ClearField("answer")
        record.answer_dropped = True
        self.answer_bytes -= self._sizes.pop(key)

    def remove(self, key: Key) -> None:
        """Forgets a claim."""
        record = self._claims.pop(key, None)
        if record is None:
            return
        del self._by_state[self._states.pop(key)][key]
        self.answer_bytes -= self._sizes.pop(key, 0)
        running = self._running.get(record.session, {})
        running.pop(key, None)
        if not running:
            self._running.pop(record.session, None)

    def make_room(self) -> bool:
        """Tells whether one more claim fits; forgets released ones first."""
        if len(self._claims) < MAX_CLAIMS:
            return True
        released = self._by_state[control_pb2.CLAIM_RELEASED]
        if not released:
            return False
        self.remove(next(iter(released)))
        return True
