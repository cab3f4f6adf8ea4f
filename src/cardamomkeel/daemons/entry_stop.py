"""The steps of a planned stop of an entry."""

import dataclasses
import enum
import typing

import anyio
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel.control import client as client_lib
from cardamomkeel.daemons import in_flight as in_flight_lib
from cardamomkeel.routing import owner as owner_lib
from cardamomkeel.routing import session as session_lib
from cardamomkeel.settings import process
from cardamomkeel.wire import control_pb2

# The timeout for reporting a stop to the control group. An election may
# happen in between.
LEAVE_TIMEOUT_MS = 5000.0
# How often a stop checks whether all entries know of it.
PROGRESS_CHECK_INTERVAL_MS = 50.0
# How often a stop checks whether all targets are handed over, which takes
# less time.
HAND_OVER_CHECK_INTERVAL_MS = 20.0
# Connections of callers that were idle for this long get no more requests.
MIN_IDLE_MS = 300.0

logger = loguru.logger


class Step(enum.Enum):
    """The steps of a planned stop, in their order."""

    LEAVE = "leave the address answers"
    WAIT_IN_FORCE = "wait until every entry knows"
    KEEP_SERVING = "serve until the longest kept answer has run out"
    HAND_OVER = "hand the targets over"
    FINISH = "finish what is in flight"
    END = "end the session"


@dataclasses.dataclass(frozen=True)
class UnfinishedWork:
    """The work that a stop has not finished yet.

    Attributes:
        step: The step of the planned stop that is running, as text.
        in_flight: The number of requests being served.
        owned: The number of targets that this entry owns.
    """

    step: str
    in_flight: int
    owned: int

    def has_no_requests(self) -> bool:
        """Returns whether no request would be aborted."""
        return self.in_flight == 0


class EntryStop:
    """Stops an entry without aborting a request.

    Attributes:
        step: The step of the planned stop that is running.
    """

    def __init__(
        self,
        cfg: process.EntrySettings,
        session: session_lib.Session,
        owner: owner_lib.Owner,
        control: client_lib.ControlClient,
        in_flight: in_flight_lib.InFlight,
        clk: clock.Clock,
    ):
        self._cfg = cfg
        self._session = session
        self._owner = owner
        self._control = control
        self._in_flight = in_flight
        self._clock = clk
        self._leave_version = 0
        self._polling = anyio.CancelScope()
        self.step = Step.LEAVE

    async def keep_session(self) -> None:
        """Runs the session until the last step of the stop ends it."""
        with self._polling:
            await self._session.run()

    def unfinished_work(self) -> UnfinishedWork:
        """Returns the work that would be lost if the process exited now."""
        return UnfinishedWork(
            self.step.value, self._in_flight.count, len(self._owner.owned)
        )

    async def run(self) -> None:
        """Runs all steps, one after another."""
        steps: dict[Step, typing.Callable] = {
            Step.LEAVE: self._leave,
            Step.WAIT_IN_FORCE: self._wait_in_force,
            Step.KEEP_SERVING: self._keep_serving,
            Step.HAND_OVER: self._hand_over,
            Step.FINISH: self._finish,
            Step.END: self._end,
        }
        for step, run_step in steps.items():
            self.step = step
            logger.info(
                "stopping", **dataclasses.asdict(self.unfinished_work())
            )
            await run_step()

    async def _propose_leave(self, finished: bool) -> int:
        """Reports the stop to the control group.

        Args:
            finished: Whether the entry is about to exit.

        Returns:
            The version of the state that contains the report; 0 if the report
            failed or the entry has no session.
        """
        if self._session.id == 0:
            return 0
        command = control_pb2.Command(
            entry_leave=control_pb2.EntryLeave(
                session=self._session.id, finished=finished
            )
        )
        done = await self._control.propose([command], LEAVE_TIMEOUT_MS)
        if not isinstance(done, result.Success):
            logger.warning(
                "failed to report stop to control group",
                reason=str(done.failure()),
            )
            return 0
        return done.unwrap()[0].version

    async def _leave(self) -> None:
        self._leave_version = await self._propose_leave(finished=False)

    async def _wait_in_force(self) -> None:
        """Waits until no entry sends callers the address of this one.

        This is certain once every lease granted before the report has expired.
        """
        deadline = self._clock.now() + self._cfg.timings.lease_ms
        req = control_pb2.ReadRequest(key="-", version=self._leave_version)
        while self._leave_version and self._clock.now() < deadline:
            reply = await self._control.read(
                req,
                deadline - self._clock.now(),
                PROGRESS_CHECK_INTERVAL_MS * 10,
            )
            if isinstance(reply, result.Success) and not any(
                not entry.lease_over for entry in reply.unwrap().progress
            ):
                return
            await anyio.sleep(clock.seconds(PROGRESS_CHECK_INTERVAL_MS))

    async def _keep_serving(self) -> None:
        await anyio.sleep(clock.seconds(self._cfg.keep_addresses_ms))

    async def _hand_over(self) -> None:
        """Waits until control has moved all targets to other entries."""
        while self._owner.owned and self._has_remaining_entry():
            await anyio.sleep(clock.seconds(HAND_OVER_CHECK_INTERVAL_MS))

    def _has_remaining_entry(self) -> bool:
        return self._session.is_fresh() and any(
            not entry.leaving for entry in self._session.view.entries.values()
        )

    async def _finish(self) -> None:
        """Closes connections with their next answer and waits for requests.

        A second wait covers requests that arrived before their connection was
        closed.
        """
        self._in_flight.closing = True
        await self._in_flight.wait_until_idle()
        await anyio.sleep(clock.seconds(MIN_IDLE_MS))
        await self._in_flight.wait_until_idle()

    async def _end(self) -> None:
        # A poll that finds the session ended would open a new session.
        self._polling.cancel()
        await self._propose_leave(finished=True)
