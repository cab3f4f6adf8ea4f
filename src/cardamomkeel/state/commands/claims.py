"""Commands about claims of non-idempotent requests."""

from cardamomkeel.state import change_results
from cardamomkeel.state import claims_table
from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

OK = control_pb2.STATUS_OK
REFUSED = control_pb2.STATUS_REFUSED
EXPIRED = control_pb2.STATUS_SESSION_EXPIRED
RUNNING = control_pb2.CLAIM_RUNNING
ANSWERED = control_pb2.CLAIM_ANSWERED
RELEASED = control_pb2.CLAIM_RELEASED
UNKNOWN = control_pb2.CLAIM_UNKNOWN

# After this time a new request may reuse the key of an answered one.
KEY_RETENTION_MS = 24 * 3600 * 1000
# Answers are stored for a shorter time than their keys.
ANSWER_RETENTION_MS = 3600 * 1000
# How long a released claim is kept: longer than a delayed copy of the claim can
# be in transit.
RELEASED_RETENTION_MS = 60 * 1000
# How long a claim may run before its outcome counts as unknown: longer than the
# longest deadline plus the time to commit the outcome.
MAX_RUN_MS = 60 * 1000
# An operator may release an unknown request after this time. By then every
# entry that might still run the request has noticed the end of its session: the
# longest deadline, one lease and a margin.
RESOLVE_AFTER_MS = 15 * 1000
# Number of the newest released tokens that a claim keeps.
MAX_RELEASED_TOKENS = 8


def claim(
    tables: tables_lib.Tables, cmd: control_pb2.Claim, index: int
) -> control_pb2.CommandResult:
    """Grants a claim to one session, or returns the state of the claim."""
    is_live = tables.get(tables_lib.entry_key(cmd.session)) is not None
    status = OK if is_live else EXPIRED
    record = tables.claims.get((cmd.service, cmd.key))
    if record is None:
        return (
            _grant(tables, cmd, index, [])
            if is_live
            else _make_ungranted_result(None, status)
        )
    if record.fingerprint != cmd.fingerprint:
        return control_pb2.CommandResult(
            status=REFUSED, fingerprint_differs=True, claim=record.state
        )
    if not is_live:
        return _make_ungranted_result(record, status)
    if record.token == cmd.token and record.state == RUNNING:
        return control_pb2.CommandResult(
            status=OK, claim_granted=True, claim=RUNNING
        )
    if record.state == RELEASED and cmd.token not in record.released_tokens:
        return _grant(tables, cmd, index, list(record.released_tokens))
    return _make_ungranted_result(record, status)


def _make_ungranted_result(
    record: control_pb2.ClaimRecord | None, status: int
) -> control_pb2.CommandResult:
    """Returns the result for a claim that is not granted: its state."""
    if record is None:
        return control_pb2.CommandResult(status=status)
    return control_pb2.CommandResult(
        status=status,
        claim=record.state,
        answer=record.answer if record.HasField("answer") else None,
        answer_dropped=record.answer_dropped,
    )


def _grant(
    tables: tables_lib.Tables,
    cmd: control_pb2.Claim,
    index: int,
    released_tokens: list[str],
) -> control_pb2.CommandResult:
    if not tables.claims.ensure_capacity():
        return control_pb2.CommandResult(
            status=REFUSED,
            message=f"there are {claims_table.MAX_CLAIMS} claims already",
        )
    tables.claims.put(
        control_pb2.ClaimRecord(
            service=cmd.service,
            key=cmd.key,
            token=cmd.token,
            session=cmd.session,
            fingerprint=cmd.fingerprint,
            state=RUNNING,
            changed_log_ms=tables.log_ms,
            released_tokens=released_tokens,
        )
    )
    return control_pb2.CommandResult(
        status=OK, claim_granted=True, claim=RUNNING, version=index
    )


def settle(
    tables: tables_lib.Tables, cmd: control_pb2.Settle, index: int
) -> control_pb2.CommandResult:
    """Records the outcome of a claimed request."""
    record = tables.claims.get((cmd.service, cmd.key))
    if record is None or record.token != cmd.token:
        return control_pb2.CommandResult(status=REFUSED)
    if record.state in (RUNNING, UNKNOWN):
        changed = _change(tables, record, cmd.state)
        changed.answer_dropped = cmd.answer_too_large
        if cmd.HasField("answer"):
            changed.answer.CopyFrom(cmd.answer)
        tables.claims.put(changed)
        record = changed
    return control_pb2.CommandResult(status=OK, claim=record.state)


def _change(
    tables: tables_lib.Tables, record: control_pb2.ClaimRecord, state: int
) -> control_pb2.ClaimRecord:
    """Returns a copy of a claim, changed to another state."""
    changed = control_pb2.ClaimRecord()
    changed.CopyFrom(record)
    changed.state = state
    changed.changed_log_ms = tables.log_ms
    if state == RELEASED:
        changed.released_tokens.append(record.token)
        del changed.released_tokens[:-MAX_RELEASED_TOKENS]
    return changed


def mark_running_claims_unknown(
    tables: tables_lib.Tables, session: int
) -> None:
    """Marks the running claims of a lost session as unknown."""
    for record in tables.claims.get_running(session):
        tables.claims.put(_change(tables, record, UNKNOWN))


def resolve(
    tables: tables_lib.Tables, cmd: control_pb2.Resolve, index: int
) -> control_pb2.CommandResult:
    """Records the outcome that an operator states for an unknown request.

    If a fingerprint is given, lifts the quarantine of that request instead.
    """
    fingerprint = change_results.make_fingerprint(
        "resolve", cmd.service, cmd.key, str(cmd.state), cmd.fingerprint.hex()
    )
    earlier = tables.changes.find(cmd.change_id, fingerprint)
    if earlier is not None:
        return earlier
    if cmd.fingerprint:
        result = _lift_quarantine(tables, cmd, index)
    else:
        result = _resolve_claim(tables, cmd)
    if result.status == OK:
        tables.changes.put(cmd.change_id, fingerprint, result)
    return result


def _lift_quarantine(
    tables: tables_lib.Tables, cmd: control_pb2.Resolve, index: int
) -> control_pb2.CommandResult:
    key = tables_lib.quarantine_key(cmd.fingerprint)
    if tables.get(key) is None:
        return control_pb2.CommandResult(
            status=REFUSED,
            message=f"{cmd.fingerprint.hex()} is not in quarantine",
        )
    tables.delete(key, index)
    return control_pb2.CommandResult(status=OK, version=index)


def _resolve_claim(
    tables: tables_lib.Tables, cmd: control_pb2.Resolve
) -> control_pb2.CommandResult:
    record = tables.claims.get((cmd.service, cmd.key))
    if record is None or record.state != UNKNOWN:
        return control_pb2.CommandResult(
            status=REFUSED,
            message=f"{cmd.service} has no unknown request {cmd.key}",
        )
    if cmd.state not in (RELEASED, ANSWERED):
        return control_pb2.CommandResult(
            status=REFUSED, message="a request either ran or did not run"
        )
    remaining_ms = record.changed_log_ms + RESOLVE_AFTER_MS - tables.log_ms
    if cmd.state == RELEASED and remaining_ms > 0:
        return control_pb2.CommandResult(
            status=REFUSED,
            message=(
                f"{cmd.key} may run for {remaining_ms} ms yet; wait so long"
            ),
        )
    changed = _change(tables, record, cmd.state)
    changed.answer_dropped = cmd.state == ANSWERED
    tables.claims.put(changed)
    return control_pb2.CommandResult(status=OK, claim=changed.state)


def sweep(tables: tables_lib.Tables) -> None:
    """Deletes expired claims and answers.

    Claims that have run for too long become unknown.
    """
    claims = tables.claims
    now = tables.log_ms
    for record in claims.get_changed_before(RUNNING, now - MAX_RUN_MS):
        claims.put(_change(tables, record, UNKNOWN))
    for state, retention_ms in (
        (RELEASED, RELEASED_RETENTION_MS),
        (ANSWERED, KEY_RETENTION_MS),
    ):
        for record in claims.get_changed_before(state, now - retention_ms):
            claims.remove((record.service, record.key))
    for record in claims.get_with_answer_before(now - ANSWER_RETENTION_MS):
        claims.drop_answer((record.service, record.key))
