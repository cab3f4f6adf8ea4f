"""The state of all processes, gathered for the commands of operators."""

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

# Processes that are asked at the same time.
MAX_CONCURRENT_CALLS = 16


class _AnswerPart(pydantic.BaseModel):
    """A part of an answer; what this program does not know is left out."""

    model_config = pydantic.ConfigDict(extra="ignore", frozen=True)


class Member(_AnswerPart):
    """A member of the control group, as a control VM knows it."""

    id: str
    name: str
    voter: bool = False


class Members(_AnswerPart):
    """The control group, as a control VM knows it."""

    members: tuple[Member, ...] = ()


class ControlState(_AnswerPart):
    """The state of one control VM.

    Attributes:
        name: Its name.
        member: Its id as a member, anew for each data folder.
        role: What it is in the group, such as `leader`.
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
    """A target as its owner sees it."""

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
    """An entry as the control group knows it."""

    session: int
    name: str
    data_centre: str
    operators_address: str
    leaving: bool = False


class TargetRow(_AnswerPart):
    """A target as the control group knows it."""

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
    """A request that nobody knows the end of."""

    service: str
    key: str


class QuarantineRow(_AnswerPart):
    """A request that breaks the connections of backend servers."""

    service: str
    fingerprint: str


class Unresolved(_AnswerPart):
    """What only operators can end."""

    unknown: tuple[UnknownOutcomeRow, ...] = ()
    quarantines: tuple[QuarantineRow, ...] = ()


@dataclasses.dataclass(frozen=True)
class EntryReport:
    """An entry, and its own state where it answers."""

    row: EntryRow
    state: EntryState | None


@dataclasses.dataclass(frozen=True)
class Fleet:
    """All processes at one moment.

    Attributes:
        controls: States of the control VMs that answered, by address asked;
            None for those that did not.
        entries: The entries of the control group's list.
        targets: The targets that have announced themselves.
        out_of_service: What is out of service.
        text: The settings text in force.
        version: The version of the rows.
        unresolved: What only operators can end.
    """

    controls: dict[str, ControlState | None]
    entries: tuple[EntryReport, ...] = ()
    targets: tuple[TargetRow, ...] = ()
    out_of_service: tuple[OutOfServiceRow, ...] = ()
    text: services.ServicesText = services.ServicesText(services={})
    version: int = 0
    unresolved: Unresolved = Unresolved()

    def is_out_of_service(self, target: TargetRow) -> bool:
        """Tells whether operators took a target out of service."""
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
    """Returns the answer of each process; None for those without one."""

    def call_one(address: str) -> Model | None:
        done = client.call([address], secret, path, body or {})
        if not isinstance(done, result.Success):
            return None
        try:
            return model.model_validate(done.unwrap())
        except pydantic.ValidationError:
            return None

    with concurrent.futures.ThreadPoolExecutor(MAX_CONCURRENT_CALLS) as pool:
        return dict(zip(addresses, pool.map(call_one, addresses), strict=True))


def list_rows(show: Body, kind: str, model: type[Model]) -> tuple[Model, ...]:
    """Returns the rows of one kind of an answer of `show`."""
    return tuple(
        model.model_validate(record[kind])
        for record in show.get("records", [])
        if kind in record
    )


def _read_text(show: Body) -> services.ServicesText:
    for record in show.get("records", []):
        if "settings" in record:
            text = record["settings"].get("text", "")
            parsed = reader.parse(text, services.ServicesText, "in force")
            if isinstance(parsed, result.Success):
                return parsed.unwrap()
    return services.ServicesText(services={})


def list_entries(
    addresses: list[str], secret: str
) -> result.Result[tuple[EntryRow, ...], errors.Error]:
    """Asks the control group for the entries."""
    shown = client.call(addresses, secret, "/v1/show", {})
    return shown.map(lambda show: list_rows(show, "entry", EntryRow))


def gather(
    addresses: list[str], secret: str
) -> result.Result[Fleet, errors.Error]:
    """Asks all processes for their state.

    Args:
        addresses: Operators' addresses of the control VMs.
        secret: The operators' secret.

    Returns:
        The fleet; without rows where no control VM can confirm them.
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
    opened = client.call(addresses, secret, "/v1/unknown", {})
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
            _read_text(show),
            int(show.get("version", 0)),
            Unresolved.model_validate(opened.value_or({})),
        )
    )
