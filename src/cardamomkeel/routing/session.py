"""An entry's session with the control group: its lease and its view."""

import secrets
import typing

import anyio
import anyio.lowlevel
import loguru
from returns import result

from cardamomkeel import clock
from cardamomkeel.control import client as client_lib
from cardamomkeel.control import link as link_lib
from cardamomkeel.control import signal
from cardamomkeel.policy import promises as promises_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

# The clock of this VM may run this much slower than that of the leader.
DRIFT_SHARE = 0.05
REJOIN_PAUSE_MS = 200.0
# Between polls of different control VMs, and once all have been asked twice.
RETRY_PAUSE_MS = 50.0
MAX_RETRY_PAUSE_MS = 250.0
# An entry without any rows turns to another control VM after so long.
FIRST_ROWS_TIMEOUT_MS = 150.0
# A control VM that did not answer is not preferred for so long.
AVOID_MS = 3000.0

logger = loguru.logger


class Timings(typing.Protocol):
    """How long this entry waits.

    Attributes:
        poll_timeout_ms: For the answer to a poll, before it asks another
            control VM.
        lease_ms: For its lease, before it joins anew.
    """

    poll_timeout_ms: int
    lease_ms: int


class Settings(typing.Protocol):
    """What a session needs to know of the settings of its process.

    Attributes:
        name: Name of this VM.
        data_centre: Where this VM is.
        entries_address: Where other entries reach it.
        callers_address: Where callers reach it.
        operators_address: Where operators reach this process.
        control: Address by name of the control VMs.
        reach: Addresses to connect to in place of others.
        timings: How long it waits.
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
    """Keeps the lease fresh for as long as the process runs.

    Attributes:
        id: The session that the control group knows; 0 for none.
        view: The state as of the newest answer.
        lease_until: When the lease runs out, on the local clock.
        promises: How long work may go on after the lease.
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
        """Makes a session that has not joined yet.

        Args:
            cfg: The settings of the process.
            client: Reaches the leader.
            clk: The clock.
            on_change: Called when the view has changed.
            make_view: Makes the empty state.
            keeps_view: Whether the view outlasts the session, for entries
                that own no targets and need no lease.
        """
        self._make_view = make_view
        self._keeps_view = keeps_view
        self._cfg = cfg
        self._client = client
        self._clock = clk
        self._on_change = on_change
        self._nonce = secrets.token_hex(8)
        self._link = link_lib.Link(cfg.reach, self._apply_reply)
        self._addresses = list(cfg.control.values())
        # Entries spread over the control VMs.
        self._next_index = secrets.randbelow(len(self._addresses))
        self._failures = 0
        # Where each control VM said that it is, and when one last failed.
        self._data_centres: dict[str, str] = {}
        self._failed_at: dict[str, clock.Millis] = {}
        self._is_joining = False
        self._is_early_poll_due = False
        self._early_poll = signal.Signal()
        self._poll_answered = signal.Signal()
        self.id = 0
        self.view = make_view()
        self.lease_until = float("-inf")
        self.promises = promises_lib.Promises()

    def is_fresh(self) -> bool:
        """Tells whether this entry may act on its view."""
        return self._clock.now() < self.lease_until

    @property
    def polled_address(self) -> str:
        """The address of the control VM that is polled; empty for none."""
        return self._link.address

    async def run(self) -> None:
        """Joins, polls, and joins again where the session has ended."""
        while True:
            try:
                await self._run_tasks()
            except anyio.get_cancelled_exc_class():
                await anyio.lowlevel.checkpoint_if_cancelled()
            except Exception:
                # What a library raises that nobody expects of it.
                logger.exception("a task of the session has failed")
                await anyio.sleep(clock.seconds(REJOIN_PAUSE_MS))
            # A cancellation that was meant for a task that is over ends the
            # others without an error. An entry that follows nothing must not
            # stay so.
            logger.error("the session's tasks have ended; starts them again")

    async def _run_tasks(self) -> None:
        async with anyio.create_task_group() as tasks:
            await tasks.start(self._link.run)
            while True:
                await self._step(tasks)

    async def _step(self, tasks: anyio.abc.TaskGroup) -> None:
        if not self._keeps_view and self.id == 0:
            await self._join()
            return
        if self.id == 0 and not self._is_joining:
            # A join waits until the leader has written it down; rows do not.
            self._is_joining = True
            tasks.start_soon(self._join_in_background)
        await self._poll()

    async def _join_in_background(self) -> None:
        """Joins while the rows are followed without a lease."""
        try:
            await self._join()
        finally:
            self._is_joining = False
        self._is_early_poll_due = True
        self._early_poll.notify()
        self._link.news.notify()

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
        if not self._keeps_view:
            self.view = self._make_view()
        logger.info("joined", session=self.id)

    async def _poll(self) -> None:
        previous_version = self.view.version
        address = self._choose_address()
        sent_at = self._clock.now()
        # Asked for early from now on is not yet part of this poll.
        self._is_early_poll_due = False
        poll = self._make_poll(sent_at)
        # A control VM that has lost its disk has no rows to give at first.
        timeout_ms = self._cfg.timings.poll_timeout_ms
        if not self.view.version:
            timeout_ms = min(timeout_ms, FIRST_ROWS_TIMEOUT_MS)
        reply = await self._link.ask(
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
            self._confirm_bounds(poll, reply)
        if self.view.version == previous_version and self._link.is_open:
            await self._wait_for_news(reply.next_ms)
        remaining_ms = sent_at + reply.pause_ms - self._clock.now()
        if remaining_ms > 0 and not self._is_early_poll_due:
            await self._early_poll.wait(clock.seconds(remaining_ms))

    def _choose_address(self) -> str:
        """Returns a control VM of the own data centre where one is known.

        One that has just not answered is asked again only where none is left,
        the one that failed first before the others.
        """
        since = self._clock.now() - AVOID_MS
        # Those whose place is not known yet are asked in turn.
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

    async def _wait_for_news(self, timeout_ms: clock.Millis) -> None:
        if not self._is_early_poll_due:
            await self._link.news.wait(clock.seconds(timeout_ms))

    async def poll_early(self, timeout_ms: clock.Millis) -> None:
        """Has the next poll sent now, and waits for the answer to a poll.

        That may be the answer to an earlier one.
        """
        self._is_early_poll_due = True
        self._early_poll.notify()
        self._link.news.notify()
        await self._poll_answered.wait(clock.seconds(timeout_ms))

    def _make_poll(self, sent_at: clock.Millis) -> control_pb2.PollRequest:
        """Returns a poll that says how long work may go on after its lease."""
        poll = control_pb2.PollRequest(
            session=self.id, version=self.view.version
        )
        bounds = self.promises.send(sent_at, self.is_fresh())
        for service, after_ms in bounds.items():
            poll.bounds.add(service=service, longest_ms=after_ms)
        poll.number = self.promises.number
        poll.term = self.promises.term
        return poll

    def _confirm_bounds(
        self, poll: control_pb2.PollRequest, reply: control_pb2.FollowReply
    ) -> None:
        """Counts a promise as confirmed by the answer to its poll."""
        lease_ms = reply.lease_ms * (1 - DRIFT_SHARE)
        self.promises.confirm(poll.number, reply.term, lease_ms)
        self._poll_answered.notify()

    async def _switch_control_vm(self, address: str) -> None:
        """Turns to the next control VM."""
        if not self._failures:
            logger.warning(
                "no lease", control=address, reason=self._link.failure
            )
        self._failures += 1
        self._failed_at[address] = self._clock.now()
        count = len(self._addresses)
        self._next_index = (self._next_index + 1) % count
        await anyio.sleep(clock.seconds(self._get_retry_pause_ms(count)))

    def _get_retry_pause_ms(self, count: int) -> clock.Millis:
        """Returns how long to wait before one of some control VMs is asked."""
        if self._failures >= 2 * count:
            return MAX_RETRY_PAUSE_MS
        # Callers wait for an entry that has no rows.
        if not self.view.version and self._failures < count:
            return 0.0
        return RETRY_PAUSE_MS

    def _apply_reply(self, reply: control_pb2.FollowReply) -> None:
        """Takes the rows of a reply over."""
        if reply.control_addresses:
            self.follow_members(list(reply.control_addresses))
        if reply.version == self.view.version and not reply.whole:
            return
        self.view.apply_reply(reply)
        self._on_change()

    def follow_members(self, addresses: list[str]) -> None:
        """Turns to other control VMs, where the group has changed."""
        if set(addresses) == set(self._addresses):
            return
        logger.info("follows other control VMs", addresses=addresses)
        self._addresses = addresses
        self._next_index %= len(addresses)
        self._client.follow_members(addresses)

    def add_members(self, addresses: list[str]) -> None:
        """Turns to further control VMs besides those that are known."""
        known = dict.fromkeys([*self._addresses, *addresses])
        self.follow_members(list(known))

    def _handle_expired(self) -> None:
        logger.warning("session has ended", session=self.id)
        self._link.close()
        self.id = 0
        self.lease_until = float("-inf")
        if not self._keeps_view:
            self.view = self._make_view()
        self._on_change()


def _make_follow_request(
    poll: control_pb2.PollRequest,
) -> control_pb2.FollowRequest:
    return control_pb2.FollowRequest(polls=[poll], version=poll.version)
