"""The session of an entry with the control group, its lease and view."""

import secrets
import typing

import anyio
import anyio.lowlevel
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel.control import client as client_lib
from cardamomkeel.control import poll_stream as poll_stream_lib
from cardamomkeel.control import signal
from cardamomkeel.policy import promises as promises_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

# The clock of this VM may run slower than that of the leader by this share.
DRIFT_SHARE = 0.05
REJOIN_PAUSE_MS = 200.0
# Pause after a failed poll, before the next control VM is polled.
RETRY_PAUSE_MS = 50.0
# The same pause after two failures of each control VM.
MAX_RETRY_PAUSE_MS = 250.0
# How long an entry without any rows waits for one control VM.
FIRST_ROWS_TIMEOUT_MS = 150.0
# How long a control VM that did not answer is avoided.
AVOID_MS = 3000.0

logger = loguru.logger


class Timings(typing.Protocol):
    """The timeouts of this entry.

    Attributes:
        poll_timeout_ms: How long to wait for the answer to a poll before
            another control VM is polled.
        lease_ms: How long to wait for the answer to a join.
    """

    poll_timeout_ms: int
    lease_ms: int


class Settings(typing.Protocol):
    """The settings of the process that a session needs.

    Attributes:
        name: The name of this VM.
        data_centre: The data centre of this VM.
        entries_address: Where this entry accepts other entries.
        callers_address: Where this entry accepts callers.
        operators_address: Where this entry accepts operators.
        control: The addresses of the control VMs, by name.
        reach: Addresses to connect to in place of others.
        timings: The timeouts.
    """

    name: str
    data_centre: str
    entries_address: str
    callers_address: str
    operators_address: str
    control: dict[str, str]
    reach: dict[str, str]
    timings: Timings


class Session:
    """Keeps the lease and the view up to date.

    Attributes:
        id: The session id from the control group; 0 for none.
        view: The state as of the newest reply.
        lease_until: When the lease expires, on the local clock.
        promises: How long work may go on after the lease.
        add_reports: Adds what this entry reports to a poll before it is sent.
    """

    def __init__(
        self,
        cfg: Settings,
        client: client_lib.ControlClient,
        clk: clock.Clock,
        on_change: typing.Callable[[], None],
        make_view: typing.Callable[[], view_lib.View] = view_lib.View,
        keeps_view: bool = False,
    ):
        """Creates a session that has not joined yet.

        Args:
            cfg: The settings of the process.
            client: The client for the leader.
            clk: The clock.
            on_change: Called when the view has changed.
            make_view: Creates an empty view.
            keeps_view: Whether the view is kept when the session expires, for
                entries that own no targets and need no lease.
        """
        self._make_view = make_view
        self._keeps_view = keeps_view
        self._cfg = cfg
        self._client = client
        self._clock = clk
        self._on_change = on_change
        self._nonce = secrets.token_hex(8)
        self._poll_stream = poll_stream_lib.PollStream(
            cfg.reach, self._apply_reply
        )
        self._addresses = list(cfg.control.values())
        # Starts at a random control VM, to spread the entries over them.
        self._next_index = secrets.randbelow(len(self._addresses))
        self._failures = 0
        # The data centre that each control VM reported, by its address.
        self._data_centres: dict[str, str] = {}
        # The time of the last failed poll of each control VM, by its address.
        self._failed_at: dict[str, clock.Millis] = {}
        self._is_joining = False
        self._is_early_poll_due = False
        self._early_poll = signal.Signal()
        self._poll_answered = signal.Signal()
        self.id = 0
        self.view = make_view()
        self.lease_until = float("-inf")
        self.promises = promises_lib.Promises()
        self.add_reports: typing.Callable[[control_pb2.PollRequest], None] = (
            _add_nothing
        )
        self._answered_at = float("-inf")

    def is_in_touch(self, within_ms: clock.Millis) -> bool:
        """Returns whether a leader has answered a poll sent so recently."""
        return self._clock.now() - self._answered_at <= within_ms

    def is_fresh(self) -> bool:
        """Returns whether the lease is valid, so that the view may be used."""
        return self._clock.now() < self.lease_until

    @property
    def polled_address(self) -> str:
        """The address of the control VM that is polled; empty for none."""
        return self._poll_stream.address

    async def run(self) -> None:
        """Joins and polls, and joins again when the session has expired."""
        while True:
            try:
                await self._run_tasks()
            except anyio.get_cancelled_exc_class():
                await anyio.lowlevel.checkpoint_if_cancelled()
            except Exception:
                # An unexpected error, for example from a library.
                logger.exception("session task failed")
                await anyio.sleep(clock.seconds(REJOIN_PAUSE_MS))
            # A cancellation meant for a finished task can end the others
            # without an error. They are restarted, so that the view is
            # updated again.
            logger.error("restarting session tasks")

    async def _run_tasks(self) -> None:
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._poll_stream.run)
            while True:
                await self._step(tasks)

    async def _step(self, tasks: anyio.abc.TaskGroup) -> None:
        if not self._keeps_view and self.id == 0:
            await self._join()
            return
        if self.id == 0 and not self._is_joining:
            # A join has to wait for the leader to commit it; rows do not.
            self._is_joining = True
            tasks.start_soon(self._join_in_background)
        await self._poll()

    async def _join_in_background(self) -> None:
        """Joins while rows are already received without a lease."""
        try:
            await self._join()
        finally:
            self._is_joining = False
        self._is_early_poll_due = True
        self._early_poll.notify()
        self._poll_stream.activity.notify()

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
        proposed = await self._client.propose(
            [command], timeout_ms=cfg.timings.lease_ms
        )
        if not isinstance(proposed, result.Success):
            logger.warning(
                "failed to join control group", reason=str(proposed.failure())
            )
            await anyio.sleep(clock.seconds(REJOIN_PAUSE_MS))
            return
        self.id = proposed.unwrap()[0].session
        # The nonce is kept for resends only; the next session needs another.
        self._nonce = secrets.token_hex(8)
        if not self._keeps_view:
            self.view = self._make_view()
        logger.info("joined", session=self.id)

    async def _poll(self) -> None:
        previous_version = self.view.version
        address = self._choose_address()
        sent_at = self._clock.now()
        # Requests for an early poll from now on need another poll.
        self._is_early_poll_due = False
        poll = self._make_poll(sent_at)
        # A control VM that has lost its disk has no rows at first.
        timeout_ms = self._cfg.timings.poll_timeout_ms
        if not self.view.version:
            timeout_ms = min(timeout_ms, FIRST_ROWS_TIMEOUT_MS)
        reply = await self._poll_stream.poll(
            address, _make_follow_request(poll), timeout_ms
        )
        if reply is None:
            await self._switch_control_vm(address)
            return
        if self.id and self.id in reply.expired:
            self._handle_expired()
            return
        self._failures = 0
        self._data_centres[address] = reply.data_centre
        if poll.session:
            self.lease_until = sent_at + reply.lease_ms * (1 - DRIFT_SHARE)
            self._answered_at = sent_at
            self._confirm_bounds(poll, reply)
        if self.view.version == previous_version and self._poll_stream.is_open:
            await self._wait_for_stream_activity(reply.next_ms)
        remaining_ms = sent_at + reply.pause_ms - self._clock.now()
        if remaining_ms > 0 and not self._is_early_poll_due:
            await self._early_poll.wait(clock.seconds(remaining_ms))

    def _choose_address(self) -> str:
        """Returns the address of the control VM to poll.

        Prefers a control VM in the own data centre, then one whose data centre
        is unknown. Those that failed within AVOID_MS are chosen only if there
        is no other one, the earliest failure first.
        """
        since = self._clock.now() - AVOID_MS
        # All control VMs, starting at the next one in turn.
        addresses = (
            self._addresses[self._next_index :]
            + self._addresses[: self._next_index]
        )
        responsive = [
            address
            for address in addresses
            if self._failed_at.get(address, float("-inf")) < since
        ]
        for data_centre in (self._cfg.data_centre, None):
            for address in responsive:
                if self._data_centres.get(address) == data_centre:
                    return address
        if responsive:
            return responsive[0]
        return min(addresses, key=lambda address: self._failed_at[address])

    async def _wait_for_stream_activity(self, timeout_ms: clock.Millis) -> None:
        """Waits until rows arrive, the stream ends or a poll is due early."""
        if not self._is_early_poll_due:
            await self._poll_stream.activity.wait(clock.seconds(timeout_ms))

    async def poll_early(self, timeout_ms: clock.Millis) -> None:
        """Triggers a poll now and waits for the reply to a poll.

        The reply may belong to an earlier poll.
        """
        self.trigger_poll()
        await self._poll_answered.wait(clock.seconds(timeout_ms))

    def trigger_poll(self) -> None:
        """Triggers a poll now."""
        self._is_early_poll_due = True
        self._early_poll.notify()
        self._poll_stream.activity.notify()

    def _make_poll(self, sent_at: clock.Millis) -> control_pb2.PollRequest:
        """Returns a poll that reports how long work may outlast the lease."""
        poll = control_pb2.PollRequest(
            session=self.id, version=self.view.version
        )
        bounds = self.promises.send(sent_at, self.is_fresh())
        for service, after_ms in bounds.items():
            poll.bounds.add(service=service, longest_ms=after_ms)
        poll.number = self.promises.number
        poll.term = self.promises.term
        self.add_reports(poll)
        return poll

    def _confirm_bounds(
        self, poll: control_pb2.PollRequest, reply: control_pb2.FollowReply
    ) -> None:
        """Marks a promise as confirmed by the reply to its poll."""
        lease_ms = reply.lease_ms * (1 - DRIFT_SHARE)
        self.promises.confirm(poll.number, reply.term, lease_ms)
        self._poll_answered.notify()

    async def _switch_control_vm(self, address: str) -> None:
        """Records a failed poll and pauses before the next control VM."""
        if not self._failures:
            logger.warning(
                "poll of control VM failed",
                control=address,
                reason=self._poll_stream.failure,
            )
        self._failures += 1
        self._failed_at[address] = self._clock.now()
        count = len(self._addresses)
        self._next_index = (self._next_index + 1) % count
        await anyio.sleep(clock.seconds(self._get_retry_pause_ms(count)))

    def _get_retry_pause_ms(self, count: int) -> clock.Millis:
        """Returns the pause before the next poll.

        Args:
            count: The number of control VMs.
        """
        if self._failures >= 2 * count:
            return MAX_RETRY_PAUSE_MS
        # Callers are waiting while this entry has no rows.
        if not self.view.version and self._failures < count:
            return 0.0
        return RETRY_PAUSE_MS

    def _apply_reply(self, reply: control_pb2.FollowReply) -> None:
        """Applies the members and rows of a reply."""
        if reply.control_addresses:
            self.follow_members(list(reply.control_addresses))
        if reply.version == self.view.version and not reply.whole:
            return
        self.view.apply_reply(reply)
        self._on_change()

    def follow_members(self, addresses: list[str]) -> None:
        """Replaces the known control VMs if the group has changed."""
        if set(addresses) == set(self._addresses):
            return
        logger.info("control VMs changed", addresses=addresses)
        self._addresses = addresses
        self._next_index %= len(addresses)
        self._client.set_addresses(addresses)

    def add_members(self, addresses: list[str]) -> None:
        """Adds control VMs to the known ones."""
        known = dict.fromkeys([*self._addresses, *addresses])
        self.follow_members(list(known))

    def _handle_expired(self) -> None:
        logger.warning("session expired", session=self.id)
        self._poll_stream.close()
        self.id = 0
        self.lease_until = float("-inf")
        if not self._keeps_view:
            self.view = self._make_view()
        self._on_change()


def _add_nothing(_poll: control_pb2.PollRequest) -> None:
    """Adds no reports to a poll."""


def _make_follow_request(
    poll: control_pb2.PollRequest,
) -> control_pb2.FollowRequest:
    return control_pb2.FollowRequest(polls=[poll], version=poll.version)
