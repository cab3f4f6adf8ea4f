"""Admits requests that are within the limits of their accounts."""

import asyncio
import collections
import random

import loguru

from cardamomkeel import clock
from cardamomkeel.accounts import quota_asker
from cardamomkeel.accounts import quota_keeper
from cardamomkeel.accounts import quota_messages as messages
from cardamomkeel.gateway import admission
from cardamomkeel.gateway import gossip as gossip_lib
from cardamomkeel.gateway import request_context
from cardamomkeel.log_lines import limits
from cardamomkeel.policy import quota
from cardamomkeel.policy import quota_keepers
from cardamomkeel.routing import session as session_lib
from cardamomkeel.routing import view as view_lib
from cardamomkeel.wire import control_pb2

BEYOND_LIMIT = "the account has reached its limit"
# How many accounts the state of an entry names.
MAX_DUMPED_ACCOUNTS = 10
UNKNOWN = "the use of the account can't be told now"

logger = loguru.logger


class QuotaCheck:
    """Counts the requests of accounts with limits, together with all entries.

    Accounts without a limit cost nothing.
    """

    def __init__(
        self,
        own: str,
        bounds: quota.Bounds,
        session: session_lib.Session,
        gossip: gossip_lib.Gossip,
        clk: clock.Clock,
        rng: random.Random,
    ):
        """Creates the check.

        Args:
            own: The name of this entry.
            bounds: How far limits may be exceeded.
            session: Has the accounts and the entries in force.
            gossip: Sends and receives datagrams of entries.
            clk: The clock.
            rng: Sets the first number of the asks.
        """
        self._session = session
        self._gossip = gossip
        self._clock = clk
        self._malformed_limit = limits.Limit("ignored malformed datagram", clk)
        self._addresses: dict[str, str] = {}
        self._refused: collections.Counter[str] = collections.Counter()
        self._keepers = quota_keepers.Keepers(own, clk.now())
        self._keeper = quota_keeper.Keeper(
            own,
            self._keepers,
            bounds,
            self._find_account,
            session.is_fresh,
            self._send,
        )
        self._asker = quota_asker.Asker(
            own,
            self._keepers,
            self._keeper,
            bounds,
            self._send,
            _call_later,
            clk,
            rng,
        )
        gossip.handlers[messages.MARK] = self._receive

    def _find_account(self, name: str) -> quota.Limited | None:
        directory = self._session.view.table.accounts
        return None if directory is None else directory.get(name)

    def update_members(self, view: view_lib.View) -> None:
        """Follows the list of entries; those that leave keep no accounts."""
        if view.table.accounts is None:
            return
        staying: dict[str, control_pb2.EntryRecord] = {}
        for session in sorted(view.entries):
            entry = view.entries[session]
            self._addresses[entry.name] = entry.entries_address
            if not entry.leaving:
                staying[entry.name] = entry
        if not staying:
            staying = {entry.name: entry for entry in view.entries.values()}
        members = quota_keepers.Members(
            {name: entry.session for name, entry in staying.items()},
            {name: entry.data_centre for name, entry in staying.items()},
        )
        now = self._clock.now()
        if self._keepers.set_members(members, now):
            is_listed = self._session.id in view.entries
            self._keeper.hand_over(is_listed, now)

    async def admit(
        self, ctx: request_context.RequestContext
    ) -> admission.Refusal | None:
        """Returns why a request is refused, or None if it is admitted."""
        account = ctx.account
        if account is None or not account.rate_per_s:
            return None
        fut = asyncio.get_running_loop().create_future()

        def finish(decision: quota_asker.Decision) -> None:
            if not fut.done():
                fut.set_result(decision)
            elif decision.granted:
                # The caller has left meanwhile.
                self._asker.give_back(account.name, decision.keeper)

        self._asker.decide(account.name, account, finish)
        try:
            decision = fut.result() if fut.done() else await fut
        except asyncio.CancelledError:
            if fut.done() and not fut.cancelled() and fut.result().granted:
                self._asker.give_back(account.name, fut.result().keeper)
            raise
        if decision.granted:
            ctx.granted_by = decision.keeper
            return None
        self._refused[account.name] += 1
        if decision.is_known:
            return admission.Refusal(429, BEYOND_LIMIT, decision.return_ms)
        return admission.Refusal(503, UNKNOWN, decision.return_ms)

    def recheck(
        self, ctx: request_context.RequestContext
    ) -> admission.Refusal | None:
        """Does nothing: a request is counted once."""

    def note_end(self, ctx: request_context.RequestContext, ran: bool) -> None:
        """Gives a request back that no target has run."""
        if ran or ctx.granted_by is None or ctx.account is None:
            return
        self._asker.give_back(ctx.account.name, ctx.granted_by)

    def dump_refused(self) -> dict[str, int]:
        """Returns the accounts with most refusals since the start."""
        return dict(self._refused.most_common(MAX_DUMPED_ACCOUNTS))

    def _send(self, name: str, message: messages.Message) -> None:
        self._gossip.send_to(
            self._addresses.get(name, ""), messages.encode(message)
        )

    def _receive(self, data: bytes) -> None:
        try:
            message = messages.decode(data)
        except (ValueError, RecursionError) as exc:
            if self._malformed_limit.may_write():
                logger.warning("ignored malformed datagram", reason=repr(exc))
            return
        now = self._clock.now()
        if isinstance(message, messages.GiveBack):
            self._keeper.handle_give_back(message, now)
            return
        self._keeper.note_heard(message.sender, message.fingerprint, now)
        if isinstance(message, messages.Ask):
            self._keeper.handle_ask(message, now)
        else:
            self._asker.handle_answer(message)


def _call_later(
    delay_ms: clock.Millis, call: quota_asker.Call
) -> asyncio.TimerHandle:
    loop = asyncio.get_running_loop()
    return loop.call_later(clock.seconds(delay_ms), call)
