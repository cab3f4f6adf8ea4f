"""Accepts announcements of backend servers and proposes them to control."""

import typing

import msgspec
from returns import result

from cardamomkeel import errors
from cardamomkeel import http_headers
from cardamomkeel.control import client as client_lib
from cardamomkeel.policy import incarnations
from cardamomkeel.routing import session as session_lib
from cardamomkeel.settings import addresses
from cardamomkeel.settings import structs
from cardamomkeel.wire import control_pb2

# How long to wait for the control group. A backend server whose announcement
# times out announces itself again.
COMMIT_TIMEOUT_MS = 2000.0
# How often a backend server is to announce itself. The control group removes it
# after 20 s without an announcement.
ANNOUNCE_INTERVAL_MS = 2000
REMEDY = "send what docs/backend-servers.md lists"
LEAVING = "leaving"

Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=100)]
Count = typing.Annotated[int, msgspec.Meta(ge=0, lt=2**53)]


class Announcement(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The announcement of one backend server.

    Attributes:
        service: The service that it serves; a route has to name it.
        address: Host and port at which it listens.
        data_centre: The data centre in which it runs.
        slots: How many requests it runs at a time.
        instance: Identifies this instance of the backend server.
        born_ms: When it started, in Unix milliseconds.
        sequence: Increases with each announcement of one instance.
        state: Whether it accepts requests.
        cold_ms: The remaining time of its cold start; 0 for none.
        version: The version of its software, for roll-outs.
    """

    service: Name
    address: str
    data_centre: Name
    slots: typing.Annotated[int, msgspec.Meta(ge=1, le=1000)]
    instance: Name
    born_ms: Count
    sequence: Count
    state: typing.Literal["ready", "draining", "leaving"] = "ready"
    cold_ms: Count = 0
    version: typing.Annotated[str, msgspec.Meta(max_length=100)] = ""

    def __post_init__(self):
        """Checks the address and the instance.

        Raises:
            ValueError: The address is not a valid host and port, or the
                instance can't be sent in a header.
        """
        http_headers.check_id(self.instance)
        addresses.check_peer(self.address)


class Announcements:
    """Proposes announcements to the control group."""

    def __init__(
        self, session: session_lib.Session, control: client_lib.ControlClient
    ):
        self._session = session
        self._control = control

    async def handle(self, raw: bytes) -> result.Result[None, errors.Error]:
        """Proposes an announcement and waits until it is committed.

        Args:
            raw: The JSON body of the request.
        """
        decoded = structs.decode(raw, Announcement, "the announcement", REMEDY)
        if not isinstance(decoded, result.Success):
            return result.Failure(
                errors.AnnouncementError(decoded.failure().message, REMEDY)
            )
        announcement = decoded.unwrap()
        if self._session.view.table.get_service(announcement.service) is None:
            return result.Failure(
                errors.AnnouncementError(
                    f"no route names service {announcement.service!r}",
                    "add it to the routes or correct the name",
                    404,
                )
            )
        proposed = await self._propose(announcement)
        return proposed.map(lambda _: None).lash(
            lambda error: result.Failure(
                errors.AnnouncementError(str(error), "announce again", 503)
            )
        )

    async def _propose(
        self, announcement: Announcement
    ) -> result.Result[typing.Any, errors.Error]:
        if announcement.state == LEAVING:
            name = control_pb2.InstanceName(
                instance=announcement.instance, born_ms=announcement.born_ms
            )
            gone = control_pb2.InstancesGone(instances=[name])
            command = control_pb2.Command(instances_gone=gone)
            return await self._control.propose([command], COMMIT_TIMEOUT_MS)
        drains = announcement.state == incarnations.DRAINING
        record = control_pb2.InstanceRecord(
            address=announcement.address,
            instance=announcement.instance,
            born_ms=announcement.born_ms,
            sequence=announcement.sequence,
            service=announcement.service,
            data_centre=announcement.data_centre,
            slots=announcement.slots,
            state=incarnations.DRAINING if drains else incarnations.READY,
            cold_ms=announcement.cold_ms,
            software=announcement.version,
        )
        return await self._control.announce([record], COMMIT_TIMEOUT_MS)
