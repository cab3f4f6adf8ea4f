"""An entry's session with the control group: its lease and its view."""

import secrets
import typing

import anyio
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel.control import client as client_lib
from cardamomkeel.policy import promises as promises_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.settings import process
from cardamomkeel.wire import control_pb2

# The clock of this VM may run this much slower than that of the leader.
DRIFT_SHARE = 0.05
REJOIN_PAUSE_MS = 200.0

logger = loguru.logger


class Session:
    """Keeps the lease fresh for as long as the process runs.

    Attributes:
        id: The session that the control group knows; 0 for none.
        view: The state as of the newest answer.
        lease_until: When the lease runs out, on the local clock.
        promises: How long work may go on after the lease.
    """

    def __init__(
        self,
        cfg: process.EntrySettings,
        client: client_lib.ControlClient,
        clk: clock.Clock,
        on_change: typing.Callable[[], None],
    ):
        self._cfg = cfg
        self._client = client
        self._clock = clk
        self._on_change = on_change
        self._nonce = secrets.token_hex(8)
        self.id = 0
        self.view = view_lib.View()
        self.lease_until = float("-inf")
        self.promises = promises_lib.Promises()

    def is_fresh(self) -> bool:
        """Tells whether this entry may act on its view."""
        return self._clock.now() < self.lease_until

    async def run(self) -> None:
        """Joins, polls, and joins again where the session has ended."""
        while True:
            if self.id == 0:
                await self._join()
            else:
                await self._poll()

    async def _join(self) -> None:
        cfg = self._cfg
        command = control_pb2.Command(
            entry_join=control_pb2.EntryJoin(
                name=cfg.name,
                nonce=self._nonce,
                data_centre=cfg.data_centre,
                callers_address=cfg.callers_address,
                entries_address=cfg.entries_address,
                operators_address=cfg.operators_address,
            )
        )
        done = await self._client.propose(
            [command], timeout_ms=cfg.timings.lease_ms
        )
        if not isinstance(done, result.Success):
            logger.warning("can't join", reason=str(done.failure()))
            await anyio.sleep(clock.seconds(REJOIN_PAUSE_MS))
            return
        self.id = done.unwrap()[0].session
        # Kept for resends only: the next session needs a name of its own.
        self._nonce = secrets.token_hex(8)
        self.view = view_lib.View()
        logger.info("joined", session=self.id)

    async def _poll(self) -> None:
        timings = self._cfg.timings
        first = self.lease_until == float("-inf")
        req = control_pb2.PollRequest(
            session=self.id,
            version=self.view.version,
            wait_ms=0 if first else timings.poll_wait_ms,
        )
        asked = self._clock.now()
        self.promise(req, asked)
        # The lease counts from this call, so a retry is a call of its own.
        done = await self._client.poll(
            req, timings.poll_timeout_ms, timings.poll_timeout_ms
        )
        if not isinstance(done, result.Success):
            logger.warning("no lease", reason=str(done.failure()))
            return
        reply = done.unwrap()
        if reply.session_expired:
            self._end()
            return
        self.lease_until = asked + reply.lease_ms * (1 - DRIFT_SHARE)
        self.confirm(req, reply)
        changed = reply.version != self.view.version or reply.whole
        self.view.take(reply)
        if changed:
            self._on_change()

    def promise(
        self, req: control_pb2.PollRequest, asked: clock.Millis
    ) -> None:
        """Adds to a poll how long work may go on after its lease."""
        bounds = self.promises.send(asked, self.is_fresh())
        for service, after_ms in bounds.items():
            req.bounds.add(service=service, longest_ms=after_ms)
        req.number = self.promises.number
        req.term = self.promises.term

    def confirm(
        self, req: control_pb2.PollRequest, reply: control_pb2.PollReply
    ) -> None:
        """Counts a promise as confirmed by the answer to its poll."""
        if reply.lease_ms and req.session == self.id:
            lease_ms = reply.lease_ms * (1 - DRIFT_SHARE)
            self.promises.confirm(req.number, reply.term, lease_ms)

    def _end(self) -> None:
        logger.warning("session has ended", session=self.id)
        self.id = 0
        self.lease_until = float("-inf")
        self.view = view_lib.View()
        self._on_change()
