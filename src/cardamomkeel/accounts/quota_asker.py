"""Asks the keeper of an account whether its requests are within the limit."""

import collections.abc
import itertools
import random
import typing

from cardamomkeel import clock
from cardamomkeel.accounts import quota_keeper
from cardamomkeel.accounts import quota_messages as messages
from cardamomkeel.policy import quota
from cardamomkeel.policy import quota_keepers

# When an ask is repeated, and when the entry is taken for silent.
ASK_PAUSES_MS = (15.0, 35.0, 70.0)
# How long a silent entry is not asked.
SILENT_MS = 1000.0
# How long a refusal is repeated without asking, at most.
MAX_REFUSING_MS = 250.0

Call = collections.abc.Callable[[], None]
Schedule = collections.abc.Callable[[clock.Millis, Call], typing.Any]


class Decision(typing.NamedTuple):
    """Whether a request is within the limit of its account.

    Attributes:
        granted: Whether it may be sent.
        is_known: Whether the keeper has told so.
        return_ms: When it may return.
        keeper: Who has granted it; empty for this entry by itself.
    """

    granted: bool
    is_known: bool = True
    return_ms: clock.Millis = 0.0
    keeper: str = ""


Done = collections.abc.Callable[[Decision], None]


class _Asking:
    """The state of one account at an entry that asks.

    Attributes:
        own: What this entry grants by itself.
        account: The limit that its size comes from.
        entries: The number of entries that its size comes from.
        waiting: Requests that wait for the next ask.
        asked: Requests that wait for the answer to the current ask.
        number: The number of the current ask; 0 for none.
        refused_until: Until when requests are refused without asking.
        return_at: When refused requests may return.
    """

    def __init__(self, own: quota.Bucket, account: quota.Limited, entries: int):
        self.own = own
        self.account = account
        self.entries = entries
        self.waiting: list[Done] = []
        self.asked: list[Done] = []
        self.number = 0
        self.refused_until = float("-inf")
        self.return_at = 0.0


class Asker:
    """Decides on the requests of accounts with limits.

    Requests that come while an ask is on its way share the next one.
    """

    def __init__(
        self,
        own: str,
        keepers: quota_keepers.Keepers,
        keeper: quota_keeper.Keeper,
        bounds: quota.Bounds,
        send: quota_keeper.Send,
        schedule: Schedule,
        clk: clock.Clock,
        rng: random.Random,
    ):
        """Creates an asker.

        Args:
            own: The name of this entry.
            keepers: Who keeps which account.
            keeper: Decides where this entry is the keeper.
            bounds: How far limits may be exceeded.
            send: Sends a message to an entry.
            schedule: Calls a function after some milliseconds.
            clk: The clock.
            rng: Sets the first number, so that a restarted process has others.
        """
        self._own = own
        self._keepers = keepers
        self._keeper = keeper
        self._bounds = bounds
        self._send = send
        self._schedule = schedule
        self._clock = clk
        self._numbers = itertools.count(1 + rng.getrandbits(40))
        self._asking: dict[str, _Asking] = {}
        self._silent_until: dict[str, clock.Millis] = {}

    def decide(self, name: str, account: quota.Limited, done: Done) -> None:
        """Decides on a request; the result may come later.

        Args:
            name: The name of the account.
            account: Its limit.
            done: Called with the decision.
        """
        now = self._clock.now()
        asking = self._get_asking(name, account, now)
        if asking.own.try_take(now):
            done(Decision(True))
        elif now < asking.refused_until:
            done(Decision(False, True, asking.return_at - now))
        else:
            asking.waiting.append(done)
            if not asking.number:
                self._ask(name, asking)

    def _get_asking(
        self, name: str, account: quota.Limited, now: clock.Millis
    ) -> _Asking:
        asking = self._asking.get(name)
        entries = len(self._keepers.members.sessions)
        if (
            asking is not None
            and asking.account is account
            and asking.entries == entries
        ):
            return asking
        allowance = quota.allow_own(account, self._bounds, entries)
        if asking is None:
            bucket = quota.Bucket(allowance, now)
            asking = self._asking[name] = _Asking(bucket, account, entries)
        asking.account, asking.entries = account, entries
        asking.own.refill(allowance, now)
        return asking

    def _ask(self, name: str, asking: _Asking) -> None:
        asking.asked, asking.waiting = asking.waiting, []
        asking.number = next(self._numbers)
        self._ask_next(name, asking, asking.number, 0)

    def _ask_next(
        self, name: str, asking: _Asking, number: int, place: int
    ) -> None:
        """Asks the keeper, then its stand-in; gives up behind both."""
        ranked = self._keepers.rank(name)
        now = self._clock.now()
        while place < len(ranked):
            asked = ranked[place]
            if now >= self._silent_until.get(asked, float("-inf")):
                break
            place += 1
        else:
            self._finish(name, asking, number, None)
            return
        ask = messages.Ask(
            self._own,
            number,
            self._keepers.members.fingerprint,
            name,
            len(asking.asked),
            place > 0,
        )
        if asked == self._own:
            answer = self._keeper.decide(ask, now)
            self._handle(name, asking, answer, place)
            return
        self._repeat(asking, ask, asked, place, 0)

    def _repeat(
        self,
        asking: _Asking,
        ask: messages.Ask,
        asked: str,
        place: int,
        times: int,
    ) -> None:
        if asking.number != ask.number:
            return
        if times == len(ASK_PAUSES_MS):
            self._silent_until[asked] = self._clock.now() + SILENT_MS
            asking.number = next(self._numbers)
            self._ask_next(ask.account, asking, asking.number, place + 1)
            return
        self._send(asked, ask)
        self._schedule(
            ASK_PAUSES_MS[times],
            lambda: self._repeat(asking, ask, asked, place, times + 1),
        )

    def handle_answer(self, answer: messages.Answer) -> None:
        """Passes an answer to the requests that wait for it."""
        self._silent_until.pop(answer.sender, None)
        asking = self._asking.get(answer.account)
        if asking is None or asking.number != answer.number:
            return
        ranked = self._keepers.rank(answer.account)
        place = ranked.index(answer.sender) if answer.sender in ranked else 1
        self._handle(answer.account, asking, answer, place)

    def _handle(
        self,
        name: str,
        asking: _Asking,
        answer: messages.Answer,
        place: int,
    ) -> None:
        if answer.granted < 0:
            asking.number = next(self._numbers)
            self._ask_next(name, asking, asking.number, place + 1)
            return
        self._finish(name, asking, answer.number, answer)

    def _finish(
        self,
        name: str,
        asking: _Asking,
        number: int,
        answer: messages.Answer | None,
    ) -> None:
        """Ends an ask; without an answer nothing is granted."""
        if asking.number != number:
            return
        asking.number = 0
        asked, asking.asked = asking.asked, []
        now = self._clock.now()
        granted = 0 if answer is None else min(answer.granted, len(asked))
        refusal = Decision(False, False, SILENT_MS)
        if answer is not None and granted < len(asked):
            refusal = Decision(False, True, answer.return_ms)
            asking.refused_until = now + min(answer.next_ms, MAX_REFUSING_MS)
            asking.return_at = now + answer.return_ms
        keeper = "" if answer is None else answer.sender
        for done in asked[:granted]:
            done(Decision(True, keeper=keeper))
        for done in asked[granted:]:
            done(refusal)
        if asking.waiting and not asking.number:
            self._ask(name, asking)

    def give_back(self, name: str, keeper: str) -> None:
        """Gives back a request that was granted and has not run.

        Args:
            name: The name of the account.
            keeper: Who has granted it.
        """
        message = messages.GiveBack(self._own, name, 1)
        if not keeper:
            asking = self._asking.get(name)
            if asking is not None:
                asking.own.give_back(1)
        elif keeper == self._own:
            self._keeper.handle_give_back(message, self._clock.now())
        else:
            self._send(keeper, message)
