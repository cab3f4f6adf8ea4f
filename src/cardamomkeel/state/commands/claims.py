"""Commands about claims of non-idempotent requests."""

from cardamomkeel.state import tables as tables_lib
from cardamomkeel.wire import control_pb2

OK = control_pb2.STATUS_OK
REFUSED = control_pb2.STATUS_REFUSED
EXPIRED = control_pb2.STATUS_SESSION_EXPIRED
RUNNING = control_pb2.CLAIM_RUNNING
ANSWERED = control_pb2.CLAIM_ANSWERED
RELEASED = control_pb2.CLAIM_RELEASED
UNKNOWN = control_pb2.CLAIM_UNKNOWN

# A key may be used again by a new request once this time has passed.
KEEP_KEY_MS = 24 * 3600 * 1000
# The bodies of answers are kept for a shorter time.
KEEP_ANSWER_MS = 3600 * 1000


def claim(
    tables: tables_lib.Tables, cmd: control_pb2.Claim, index: int
) -> control_pb2.CommandResult:
    """Grants the run of a request to one claimer, or tells its state."""
    if tables.get(tables_lib.entry_key(cmd.session)) is None:
        return control_pb2.CommandResult(status=EXPIRED)
    known = tables.claims.get((cmd.service, cmd.key))
    if known is None:
        return _grant(tables, cmd, index)
    if known.fingerprint != cmd.fingerprint:
        return control_pb2.CommandResult(
            status=REFUSED, fingerprint_differs=True, claim=known.state
        )
    if known.token == cmd.token and known.state == RUNNING:
        return control_pb2.CommandResult(
            status=OK, claim_granted=True, claim=RUNNING
        )
    if known.state == RELEASED and known.token != cmd.token:
        return _grant(tables, cmd, index)
    return control_pb2.CommandResult(
        status=OK,
        claim=known.state,
        answer=known.answer if known.HasField("answer") else None,
        answer_dropped=known.answer_dropped,
    )


def _grant(
    tables: tables_lib.Tables, cmd: control_pb2.Claim, index: int
) -> control_pb2.CommandResult:
    tables.claims[(cmd.service, cmd.key)] = control_pb2.ClaimRecord(
        service=cmd.service,
        key=cmd.key,
        token=cmd.token,
        session=cmd.session,
        fingerprint=cmd.fingerprint,
        state=RUNNING,
        changed_log_ms=tables.log_ms,
    )
    return control_pb2.CommandResult(
        status=OK, claim_granted=True, claim=RUNNING, version=index
    )


def settle(
    tables: tables_lib.Tables, cmd: control_pb2.Settle, index: int
) -> control_pb2.CommandResult:
    """Writes down how a claimed request ended."""
    known = tables.claims.get((cmd.service, cmd.key))
    if known is None or known.token != cmd.token:
        return control_pb2.CommandResult(status=REFUSED)
    if known.state in (RUNNING, UNKNOWN):
        known.state = cmd.state
        known.changed_log_ms = tables.log_ms
        known.answer_dropped = cmd.answer_too_large
        if cmd.HasField("answer"):
            known.answer.CopyFrom(cmd.answer)
    return control_pb2.CommandResult(status=OK, claim=known.state)


def drop_session(tables: tables_lib.Tables, session: int) -> None:
    """Marks what a lost claimer was running as unknown."""
    for known in tables.claims.values():
        if known.session == session and known.state == RUNNING:
            known.state = UNKNOWN
            known.changed_log_ms = tables.log_ms


def resolve(
    tables: tables_lib.Tables, cmd: control_pb2.Resolve, index: int
) -> control_pb2.CommandResult:
    """Lets an operator say how an unknown request ended."""
    if cmd.change_id in tables.changes:
        return tables.changes[cmd.change_id]
    if cmd.fingerprint:
        tables.delete(tables_lib.quarantine_key(cmd.fingerprint), index)
        done = control_pb2.CommandResult(status=OK, version=index)
        tables.remember_change(cmd.change_id, done)
        return done
    known = tables.claims.get((cmd.service, cmd.key))
    if known is None or known.state != UNKNOWN:
        return control_pb2.CommandResult(
            status=REFUSED,
            message=f"{cmd.service} has no unknown request {cmd.key}",
        )
    known.state = cmd.state
    known.answer_dropped = cmd.state == ANSWERED
    known.changed_log_ms = tables.log_ms
    done = control_pb2.CommandResult(status=OK, claim=known.state)
    tables.remember_change(cmd.change_id, done)
    return done


def sweep(tables: tables_lib.Tables) -> None:
    """Forgets keys and answers whose time has passed."""
    for key, known in list(tables.claims.items()):
        age_ms = tables.log_ms - known.changed_log_ms
        if known.state in (RUNNING, UNKNOWN):
            continue
        if age_ms > KEEP_KEY_MS:
            del tables.claims[key]
        elif age_ms > KEEP_ANSWER_MS and known.HasField("answer"):
            known.ClearField("answer")
            known.answer_dropped = True
