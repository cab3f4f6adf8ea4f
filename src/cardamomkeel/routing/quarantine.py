"""Requests that broke connections of backend servers, and their probes."""

import dataclasses
import secrets

import anyio
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel.control import client as client_lib
from cardamomkeel.routing import messages
from cardamomkeel.routing import session as session_lib
from cardamomkeel.wire import control_pb2

# How long a report may take to be written down, an election included.
REPORT_TIMEOUT_MS = 2000.0
# How long to wait until a report has come back with the rows, and how much
# later it may reach another entry.
REPORT_VISIBLE_TIMEOUT_MS = 250.0
VISIBLE_CHECK_INTERVAL_MS = 5.0
PROPAGATION_MARGIN_MS = 20.0
# How long to wait while another entry probes the same request.
PROBE_PAUSE_MS = 20.0

logger = loguru.logger


@dataclasses.dataclass(frozen=True)
class Admission:
    """Leave to run a request once.

    Attributes:
        token: Of the probe; empty where the request is not suspect.
        avoid: Targets whose connections it broke already.
        refused: Why it may not run, or None.
    """

    token: str = ""
    avoided_targets: frozenset[str] = frozenset()
    rejection: messages.RequestResult | None = None


class Quarantine:
    """Lets a suspect request run at one entry at a time, or not at all."""

    def __init__(
        self,
        session: session_lib.Session,
        control: client_lib.ControlClient,
        clk: clock.Clock,
        tasks: anyio.abc.TaskGroup,
    ):
        self._session = session
        self._control = control
        self._clock = clk
        self._tasks = tasks

    async def admit(
        self, req: messages.Request, broke_connection: bool
    ) -> Admission:
        """Tells whether a request may be run now.

        Args:
            req: The request.
            broke_before: Whether an earlier attempt at it broke a connection,
                of which the view may not tell yet.
        """
        row = self._session.view.quarantines.get(req.fingerprint)
        if row is None and not broke_connection:
            return Admission()
        if row is not None and row.confirmed:
            return Admission(rejection=_make_rejection())
        return await self._probe(req)

    async def _probe(self, req: messages.Request) -> Admission:
        token = secrets.token_hex(8)
        command = control_pb2.Command(
            begin_probe=control_pb2.BeginProbe(
                fingerprint=req.fingerprint, token=token
            )
        )
        while (remaining_ms := req.deadline - self._clock.now()) > 0:
            response = await self._control.propose([command], remaining_ms)
            if not isinstance(response, result.Success):
                break
            done = response.unwrap()[0]
            if done.quarantined:
                return Admission(rejection=_make_rejection())
            if done.probe_granted:
                return Admission(token, self._get_avoided_targets(req))
            await anyio.sleep(clock.seconds(PROBE_PAUSE_MS))
        return Admission(
            rejection=messages.not_run(
                "this request broke a backend server and is being probed",
                "send it again later",
            )
        )

    def _get_avoided_targets(self, req: messages.Request) -> frozenset[str]:
        """Returns the targets to avoid, where there are others."""
        view = self._session.view
        row = view.quarantines.get(req.fingerprint)
        if row is None:
            return frozenset()
        broken = frozenset(name.partition("#")[0] for name in row.targets)
        usable = {
            target.address
            for target in view.get_targets_by_service(req.service)
            if not view.refuses_new_work(target)
        }
        return broken if usable - broken else frozenset()

    async def record_result(
        self,
        req: messages.Request,
        admission: Admission,
        req_result: messages.RequestResult,
    ) -> None:
        """Takes into account how an admitted attempt ended."""
        if req_result.sign is messages.Sign.BROKEN:
            await self._report_broken_connection(req, admission, req_result)
        elif admission.token:
            self._tasks.start_soon(self._end_probe, req, admission, req_result)

    async def _report_broken_connection(
        self,
        req: messages.Request,
        admission: Admission,
        req_result: messages.RequestResult,
    ) -> None:
        command = control_pb2.Command(
            report_break=control_pb2.ReportBreak(
                fingerprint=req.fingerprint,
                service=req.service,
                target=f"{req_result.target}#{req_result.instance}",
                probe_token=admission.token,
            )
        )
        done = await self._control.propose([command], REPORT_TIMEOUT_MS)
        if not isinstance(done, result.Success):
            logger.warning("a break is not counted", reason=str(done.failure()))
            return
        if done.unwrap()[0].quarantined:
            logger.error(
                "a request is in quarantine",
                service=req.service,
                path=req.path,
                fingerprint=req.fingerprint.hex(),
            )
        await self._wait_until_visible(done.unwrap()[0].version)

    async def _wait_until_visible(self, version: int) -> None:
        """Waits until a report is here, and has likely reached the others.

        The caller may send the request again at once, to another entry.
        """
        until = self._clock.now() + REPORT_VISIBLE_TIMEOUT_MS
        while (
            self._session.view.version < version and self._clock.now() < until
        ):
            await anyio.sleep(clock.seconds(VISIBLE_CHECK_INTERVAL_MS))
        await anyio.sleep(clock.seconds(PROPAGATION_MARGIN_MS))

    async def _end_probe(
        self,
        req: messages.Request,
        admission: Admission,
        req_result: messages.RequestResult,
    ) -> None:
        command = control_pb2.Command(
            end_probe=control_pb2.EndProbe(
                fingerprint=req.fingerprint,
                token=admission.token,
                answered=req_result.outcome is messages.Outcome.ANSWERED,
            )
        )
        done = await self._control.propose([command], REPORT_TIMEOUT_MS)
        if not isinstance(done, result.Success):
            logger.warning("a probe is not ended", reason=str(done.failure()))


def _make_rejection() -> messages.RequestResult:
    return messages.not_run(
        "this request broke backend servers before",
        "change it, or have an operator `resolve` its quarantine",
    )
