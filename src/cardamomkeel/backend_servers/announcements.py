"""Handles announcements of backend servers."""

import typing

import anyio
import loguru
import pydantic
from returns import result

from cardamomkeel import clock
from cardamomkeel import errors
from cardamomkeel.backend_servers import measuring as measuring_lib
from cardamomkeel.control import client as client_lib
from cardamomkeel.policy import measuring
from cardamomkeel.routing import owner as owner_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import targets as targets_lib
from cardamomkeel.settings import process
from cardamomkeel.wire import control_pb2

# How long the leader may take to commit an announcement; the backend server
# announces itself again within some seconds.
COMMIT_TIMEOUT_MS = 2000.0
# How often to look for targets that stopped announcing themselves: a fraction
# of the time after which such targets are removed.
EXPIRY_PERIOD_MS = 2000.0
# A target is removed after this many missed announcements.
MISSED_ANNOUNCEMENTS = 4

logger = loguru.logger


class Announcement(process.Strict):
    """What a backend server announces about itself."""

    service: str
    address: process.PeerAddress
    data_centre: str
    slots: int = pydantic.Field(ge=1, le=1000)
    instance: str = pydantic.Field(min_length=1, max_length=100)
    state: typing.Literal["cold", "ready", "draining", "leaving"] = "ready"


class Reply(process.Strict):
    """The reply to an announcement.

    Attributes:
        announce_to: Addresses to announce to next, the preferred first.
        every_ms: How long to wait until the next announcement.
    """

    announce_to: list[str]
    every_ms: int


class Announcements:
    """Forwards changes of targets to the control group."""

    def __init__(
        self,
        session: session_lib.Session,
        owner: owner_lib.Owner,
        control: client_lib.ControlClient,
        clk: clock.Clock,
        budget: measuring_lib.MeasuringBudget,
    ):
        self._session = session
        self._owner = owner
        self._control = control
        self._clock = clk
        self._budget = budget
        self._accepted_at: dict[str, clock.Millis] = {}

    async def handle(self, raw: bytes) -> result.Result[Reply, errors.Error]:
        """Validates an announcement and commits it if it is a change."""
        try:
            announcement = Announcement.model_validate_json(raw)
        except pydantic.ValidationError as exc:
            wrong = exc.errors(include_input=False)[0]
            return result.Failure(
                errors.AnnouncementError(
                    f"wrong announcement: {wrong['loc']}: {wrong['msg']}",
                    "send what docs/backend-servers.md lists",
                )
            )
        refusal = self._validate(announcement)
        if refusal is not None:
            logger.warning("refused announcement", reason=str(refusal))
            return result.Failure(refusal)
        too_early = self._check_rate(
            announcement, len(raw) + measuring_lib.OVERHEAD_BYTES
        )
        if too_early is not None:
            return result.Failure(too_early)
        owned = self._owner.owned.get(announcement.address)
        if owned is not None:
            owned.seen_at = self._clock.now()
        if self._is_change(announcement):
            failure = await self._commit(announcement)
            if failure is not None:
                return result.Failure(failure)
        return result.Success(self._reply(announcement))

    def _check_rate(
        self, announcement: Announcement, size: int
    ) -> errors.Error | None:
        """Charges an announcement to the budget for measuring.

        An announcement without changes to the owner of the target is limited
        by its period. Changes, and announcements to an entry that does not own
        the target, are limited by a token bucket.

        Returns:
            An error if the announcement is too early, else None.
        """
        period_ms = self._budget.get_period_ms(announcement.service)
        owned = self._owner.owned.get(announcement.address)
        if owned is not None and not self._is_change(announcement):
            now = self._clock.now()
            accepted_at = self._accepted_at.get(
                announcement.address, float("-inf")
            )
            if now - accepted_at >= measuring.MIN_PERIOD_SHARE * period_ms:
                self._accepted_at[announcement.address] = now
                self._budget.record(announcement.service, size, "announcement")
                return None
            self._budget.record(
                announcement.service, size, "announcement-refused"
            )
        elif self._budget.try_acquire(announcement.service, size, "news"):
            return None
        return errors.TooEarlyError(
            f"{announcement.address} announces itself too often",
            f"announce again in {period_ms} ms",
            retry_after_ms=period_ms,
        )

    def _validate(self, announcement: Announcement) -> errors.Error | None:
        if not self._session.is_fresh():
            return errors.AnnouncementError(
                "this entry can't confirm its settings",
                "announce to another entry",
                503,
            )
        if self._session.view.get_service(announcement.service) is None:
            return errors.AnnouncementError(
                f"there is no service {announcement.service!r}",
                "add it to the settings text or correct the name",
                404,
            )
        return None

    def _is_change(self, announcement: Announcement) -> bool:
        target = self._session.view.targets.get(announcement.address)
        return target is None or (
            target.service,
            target.data_centre,
            target.slots,
            target.instance,
            target.state,
        ) != (
            announcement.service,
            announcement.data_centre,
            announcement.slots,
            announcement.instance,
            announcement.state,
        )

    async def _commit(self, announcement: Announcement) -> errors.Error | None:
        command = control_pb2.Command(
            target_seen=control_pb2.TargetSeen(**announcement.model_dump())
        )
        proposed = await self._control.propose([command], COMMIT_TIMEOUT_MS)
        if not isinstance(proposed, result.Success):
            return errors.AnnouncementError(
                str(proposed.failure()), "announce again", 503
            )
        written = proposed.unwrap()[0]
        if written.status != control_pb2.STATUS_OK:
            return errors.AnnouncementError(
                written.message, "announce one service per address", 409
            )
        return None

    def _reply(self, announcement: Announcement) -> Reply:
        view = self._session.view
        target = view.targets.get(announcement.address)
        owner = None if target is None else view.entries.get(target.owner)
        addresses = [] if owner is None else [owner.callers_address]
        entries = sorted(
            view.entries.values(),
            key=lambda e: (e.data_centre != announcement.data_centre, e.name),
        )
        addresses += [e.callers_address for e in entries if not e.leaving]
        return Reply(
            announce_to=list(dict.fromkeys(addresses))[:4],
            every_ms=self._budget.get_period_ms(announcement.service),
        )

    def _expiry_ms(self, owned: targets_lib.OwnedTarget) -> clock.Millis:
        """Returns how long a target may go without announcing itself."""
        period_ms = self._budget.get_period_ms(owned.record.service)
        return MISSED_ANNOUNCEMENTS * period_ms

    async def run(self) -> None:
        """Removes expired targets until cancelled.

        A target expires when it no longer announces itself.
        """
        while True:
            await anyio.sleep(clock.seconds(EXPIRY_PERIOD_MS))
            now = self._clock.now()
            for address in set(self._accepted_at) - set(self._owner.owned):
                del self._accepted_at[address]
            commands = [
                control_pb2.Command(
                    target_gone=control_pb2.TargetGone(
                        address=address, instance=owned.record.instance
                    )
                )
                for address, owned in self._owner.owned.items()
                if now - owned.seen_at > self._expiry_ms(owned)
            ]
            if commands and self._session.is_fresh():
                logger.warning(
                    "targets stopped announcing themselves", count=len(commands)
                )
                await self._control.propose(commands, COMMIT_TIMEOUT_MS)
