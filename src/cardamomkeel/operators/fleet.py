"""Collects the state of all processes for operators' commands."""

import concurrent.futures
import dataclasses
import typing

import pydantic
from returns import result

from cardamomkeel import errors
from cardamomkeel.operators import client
from cardamomkeel.settings import reader
from cardamomkeel.settings import services

Body = dict[str, typing.Any]

# Bounds the threads of one command.
MAX_CONCURRENT_CALLS = 16


class _AnswerPart(pydantic.BaseModel):
    """Part of an answer; fields that this program doesn't know are ignored."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class Member(_AnswerPart):
    """A member of the control group, as one control VM knows it."""

    id: str
    name: str
    voter: bool = False


class Members(_AnswerPart):
    """The members of the control group, as one control VM knows them."""

    members: tuple[Member, ...] = ()


class ControlState(_AnswerPart):
    """The state of one control VM.

    Attributes:
        name: Its name.
        member: Its member id, a new one for each data folder.
        role: Its role in the group, such as `leader`.
        term: The newest term that it knows.
        leader: The id of the member that it follows.
        commit: Index of the newest log entry that is committed.
        members: The control group.
    """

    name: str
    member: str
    role: str
    term: int
    leader: str = ""
    commit: int = 0
    members: Members = Members()


class OwnedTarget(_AnswerPart):
    """The state of a target that its owner keeps."""

    service: str
    limit: int
    in_flight: int
    residual: int = 0
    latency_ms: float = 0.0
    failures: float = 0.0


class EntryState(_AnswerPart):
    """The state of one entry."""

    name: str
    fresh: bool
    version: int = 0
    revision: int = 0
    owned: dict[str, OwnedTarget] = {}


class EntryRow(_AnswerPart):
    """The row of an entry in the replicated state."""

    session: int
    name: str
    data_centre: str
    operators_address: str
    leaving: bool = False


class TargetRow(_AnswerPart):
    """The row of a target in the replicated state."""

    service: str
    address: str
    data_centre: str
    slots: int = 0
    state: str = ""
    owner: int = 0


class OutOfServiceRow(_AnswerPart):
    """A data centre, or one backend server, that is out of service."""

    data_centre: str = ""
    address: str = ""
    operator: str = ""


class UnknownOutcomeRow(_AnswerPart):
    """A request of unknown outcome."""

    service: str
    key: str


class QuarantineRow(_AnswerPart):
    """A quarantined request, which breaks backend servers' connections."""

    service: str
    fingerprint: str


class Unresolved(_AnswerPart):
    """Unknown outcomes and quarantines, which only operators can resolve."""

    unknown: tuple[UnknownOutcomeRow, ...] = ()
    quarantines: tuple[QuarantineRow, ...] = ()


@dataclasses.dataclass(frozen=True)
class EntryReport:
    """The row of an entry and its state, None if it did not answer."""

    row: EntryRow
    state: EntryState | None


@dataclasses.dataclass(frozen=True)
class Fleet:
    """The state of all processes at one moment.

    Attributes:
        controls: States of the control VMs by operators' address; None for
            those that did not answer.
        entries: The entries in the replicated state.
        targets: The targets that announce themselves.
        out_of_service: Data centres and backend servers out of service.
        text: The settings text in force.
        version: The version of the replicated state.
        unresolved: Requests that only operators can resolve.
    """

    controls: dict[str, ControlState | None]
    entries: tuple[EntryReport, ...] = ()
    targets: tuple[TargetRow, ...] = ()
    out_of_service: tuple[OutOfServiceRow, ...] = ()
    text: services.ServicesText = services.ServicesText(services={})
    version: int = 0
    unresolved: Unresolved = Unresolved()

    def is_out_of_service(self, target: TargetRow) -> bool:
        """Returns whether operators took a target out of service."""
        return any(
            out.address == target.address
            if out.address
            else out.data_centre == target.data_centre
            for out in self.out_of_service
        )


Model = typing.TypeVar("Model", bound=pydantic.BaseModel)


def call_all(
    addresses: list[str],
    secret: str,
    path: str,
    model: type[Model],
    body: Body | None = None,
) -> dict[str, Model | None]:
    """Returns each process's answer by address; None where a call failed."""

    def call_one(address: str) -> Model | None:
        answer = client.call([address], secret, path, body or {})
        if not isinstance(answer, result.Success):
            return None
        try:
            return model.model_validate(answer.unwrap())
        except pydantic.ValidationError:
            return None

    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
        return dict(zip(addresses, pool.map(call_one, addresses), strict=True))


def list_rows(show: Body, kind: str, model: type[Model]) -> tuple[Model, ...]:
    """Returns the rows of one kind from an answer to `show`."""
    return tuple(
        model.model_validate(record[kind])
        for record in show.get("records", [])
        if kind in record
    )


def _parse_settings(show_answer: Body) -> services.ServicesText:
    """Returns the settings in force; no services if missing or invalid."""
    for record in show_answer.get("records", []):
        if "settings" in record:
            text = record["settings"].get("text", "")
            parsed = reader.parse(text, services.ServicesText, "in force")
            if isinstance(parsed, result.Success):
                return parsed.unwrap()
    return services.ServicesText(services={})


def list_entries(
    addresses: list[str], secret: str
) -> result.Result[tuple[EntryRow, ...], errors.Error]:
    """Returns the entries in the replicated state."""
    shown = client.call(addresses, secret, "/v1/show", {})
    return shown.map(lambda show: list_rows(show, "entry", EntryRow))


def gather(
    addresses: list[str], secret: str
) -> result.Result[Fleet, errors.Error]:
    """Collects the state of all processes.

    Args:
        addresses: Operators' addresses of the control VMs.
        secret: The operators' secret.

    Returns:
        The fleet, without rows if no control VM can confirm them.
    """
    controls = call_all(addresses, secret, "/dump", ControlState)
    if not any(controls.values()):
        return result.Failure(
            errors.UnavailableError(
                "no control VM answers at " + ", ".join(addresses),
                "name the operators' addresses of the control VMs with --at",
            )
        )
    shown = client.call(addresses, secret, "/v1/show", {})
    if not isinstance(shown, result.Success):
        return result.Success(Fleet(controls))
    show = shown.unwrap()
    unresolved = client.call(addresses, secret, "/v1/unknown", {})
    rows = list_rows(show, "entry", EntryRow)
    states = call_all(
        [row.operators_address for row in rows], secret, "/dump", EntryState
    )
    return result.Success(
        Fleet(
            controls,
            tuple(EntryReport(r, states[r.operators_address]) for r in rows),
            list_rows(show, "target", TargetRow),
            list_rows(show, "out", OutOfServiceRow),
            _parse_settings(show),
            int(show.get("version", 0)),
            Unresolved.model_validate(unresolved.value_or({})),
        )
    )
