"""Quarantine of requests that break connections of backend servers."""

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

# How long a commit may take, an election included.
REPORT_TIMEOUT_MS = 2000.0
# How long to wait until the view of this entry shows a committed report.
REPORT_VISIBLE_TIMEOUT_MS = 250.0
# How often to check the view meanwhile.
VISIBLE_CHECK_INTERVAL_MS = 5.0
# How much later the report may reach another entry.
PROPAGATION_MARGIN_MS = 20.0
# How long to wait while another entry probes the same request.
PROBE_PAUSE_MS = 20.0

logger = loguru.logger


@dataclasses.dataclass(frozen=True)
class Admission:
    """The decision whether a request may run once.

    Attributes:
        token: The token of the probe; empty if none is needed.
        avoided_targets: Addresses of targets whose connections the request
            broke already.
        rejection: The result if the request may not run, or None.
    """

    token: str = ""
    avoided_targets: frozenset[str] = frozenset()
    rejection: messages.RequestResult | None = None


class Quarantine:
    """Restricts requests that broke connections.

    A suspect request may run at one entry at a time, as a probe; a request
    in quarantine may not run.
    """

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
        """Decides whether a request may run now.

        Args:
            req: The request.
            broke_connection: Whether an earlier attempt broke a connection,
                which the view may not show yet.
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
            proposed = await self._control.propose([command], remaining_ms)
            if not isinstance(proposed, result.Success):
                break
            probe_result = proposed.unwrap()[0]
            if probe_result.quarantined:
                return Admission(rejection=_make_rejection())
            if probe_result.probe_granted:
                return Admission(token, self._get_avoided_targets(req))
            await anyio.sleep(clock.seconds(PROBE_PAUSE_MS))
        return Admission(
            rejection=messages.not_run(
                "this request broke a backend server and is being probed",
                "send it again later",
            )
        )

    def _get_avoided_targets(self, req: messages.Request) -> frozenset[str]:
        """Returns the targets to avoid, or none if there are no others."""
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
        """Reports a broken connection, or ends the probe."""
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
        proposed = await self._control.propose([command], REPORT_TIMEOUT_MS)
        if not isinstance(proposed, result.Success):
            logger.warning(
                "failed to report broken connection",
                reason=str(proposed.failure()),
            )
            return
        if proposed.unwrap()[0].quarantined:
            logger.error(
                "request quarantined",
                service=req.service,
                path=req.path,
                fingerprint=req.fingerprint.hex(),
            )
        await self._wait_until_visible(proposed.unwrap()[0].version)

    async def _wait_until_visible(self, version: int) -> None:
        """Waits until a report is visible here and likely at other entries.

        The caller may send the request again to another entry at once.
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
        proposed = await self._control.propose([command], REPORT_TIMEOUT_MS)
        if not isinstance(proposed, result.Success):
            logger.warning(
                "failed to end probe", reason=str(proposed.failure())
            )


def _make_rejection() -> messages.RequestResult:
    return messages.not_run(
        "this request broke backend servers before",
        "change it, or have an operator `resolve` its quarantine",
    )
