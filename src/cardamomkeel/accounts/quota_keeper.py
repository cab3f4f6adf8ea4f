"""Grants the requests of the accounts that this entry keeps."""

import collections.abc

from cardamomkeel import clock
from cardamomkeel.accounts import quota_messages as messages
from cardamomkeel.policy import quota
from cardamomkeel.policy import quota_keepers

# An entry without a lease may have been replaced as a keeper, unless it hears
# of all data centres that their entries know the same list.
HEARD_MS = 3000.0
# How long before this entry a former keeper may have heard who follows it.
LEFT_MS = 2000.0

FindAccount = collections.abc.Callable[[str], quota.Limited | None]
Send = collections.abc.Callable[[str, messages.Message], None]


class _Kept:
    """What this entry has to grant to one account.

    Attributes:
        bucket: The tokens.
        account: The limit that the size of the bucket comes from.
        edition: The list of entries for which the bucket is right.
    """

    def __init__(self, bucket: quota.Bucket, account: quota.Limited):
        self.bucket = bucket
        self.account = account
        self.edition = -1


class Keeper:
    """Grants requests as a keeper, and fewer as a stand-in."""

    def __init__(
        self,
        own: str,
        keepers: quota_keepers.Keepers,
        bounds: quota.Bounds,
        find_account: FindAccount,
        is_fresh: collections.abc.Callable[[], bool],
        send: Send,
    ):
        """Creates a keeper.

        Args:
            own: The name of this entry.
            keepers: Who keeps which account.
            bounds: How far limits may be exceeded.
            find_account: Returns an account in force, or None.
            is_fresh: Returns whether this entry has a lease.
            send: Sends a message to an entry.
        """
        self._own = own
        self._keepers = keepers
        self._bounds = bounds
        self._find_account = find_account
        self._is_fresh = is_fresh
        self._send = send
        self._kept: dict[str, _Kept] = {}
        self._stand_ins: dict[str, quota.Bucket] = {}
        # The last answer to each entry about each account, for repeated asks.
        self._answered: dict[tuple[str, str], messages.Answer] = {}
        # What former keepers have left, by account, while this entry has not
        # heard yet that it keeps the account.
        self._left: dict[str, tuple[float, clock.Millis]] = {}
        # When an entry with the same list was heard, by data centre.
        self._heard: dict[str, clock.Millis] = {}

    def note_heard(
        self, sender: str, fingerprint: str, now: clock.Millis
    ) -> None:
        """Records a message of another entry."""
        members = self._keepers.members
        if fingerprint == members.fingerprint and sender != self._own:
            self._heard[members.data_centres.get(sender, "")] = now

    def handle_ask(self, ask: messages.Ask, now: clock.Millis) -> None:
        """Answers an ask; a repeated one as before."""
        key = (ask.sender, ask.account)
        answer = self._answered.get(key)
        if answer is None or answer.number != ask.number:
            answer = self.decide(ask, now)
            self._answered[key] = answer
        self._send(ask.sender, answer)

    def decide(self, ask: messages.Ask, now: clock.Millis) -> messages.Answer:
        """Returns the answer to a new ask, also of this entry itself."""
        account = self._find_account(ask.account)
        bucket = None
        if account is not None:
            bucket = self._find_bucket(ask, account, now)
        granted, next_ms, return_ms = -1, 0.0, 0.0
        if account is not None and not account.rate_per_s:
            # This entry has heard of the end of the limit first.
            granted, bucket = ask.count, None
        if bucket is not None:
            granted = bucket.take(ask.count)
            if granted < ask.count:
                longest_ms = self._bounds.window_ms
                next_ms = min(longest_ms, bucket.next_ms())
                return_ms = bucket.plan_return(ask.count - granted, longest_ms)
        return messages.Answer(
            self._own,
            ask.number,
            self._keepers.members.fingerprint,
            ask.account,
            granted,
            next_ms,
            return_ms,
        )

    def _find_bucket(
        self, ask: messages.Ask, account: quota.Limited, now: clock.Millis
    ) -> quota.Bucket | None:
        """Returns the bucket that an ask is granted from; None for no grant."""
        ranked = self._keepers.rank(ask.account)
        if ranked[:1] == (self._own,) and self._is_confirmed(now):
            return self._get_kept(ask.account, account, now).bucket
        if self._own in ranked and (ask.as_stand_in or ranked[0] == self._own):
            count = len(self._keepers.members.sessions)
            allowance = quota.allow_stand_in(account, self._bounds, count)
            bucket = self._stand_ins.get(ask.account)
            if bucket is None:
                bucket = quota.Bucket(allowance, now)
                self._stand_ins[ask.account] = bucket
            bucket.refill(allowance, now)
            return bucket
        return None

    def _is_confirmed(self, now: clock.Millis) -> bool:
        """Returns whether no other entry can have become the keeper."""
        if self._is_fresh():
            return True
        places = set(self._keepers.members.data_centres.values())
        return all(
            now - self._heard.get(place, float("-inf")) <= HEARD_MS
            for place in places
        )

    def _get_kept(
        self, name: str, account: quota.Limited, now: clock.Millis
    ) -> _Kept:
        kept = self._kept.get(name)
        if kept is not None and kept.account is account:
            allowance = kept.bucket.allowance
        else:
            allowance = quota.allow_keeper(account, self._bounds)
        if kept is None:
            bucket = quota.Bucket(allowance, now)
            kept = self._kept[name] = _Kept(bucket, account)
        kept.account = account
        kept.bucket.refill(allowance, now)
        if kept.edition != self._keepers.edition:
            kept.edition = self._keepers.edition
            full_ms = allowance.capacity / max(allowance.per_s, 1e-9) * 1000
            since = self._keepers.kept_since(name, now - full_ms)
            if since is not None:
                gained = clock.seconds(now - since) * allowance.per_s
                kept.bucket.level = min(kept.bucket.level, gained)
            count, left_at = self._left.pop(name, (0.0, 0.0))
            if count and now - left_at <= LEFT_MS:
                kept.bucket.give_back(count)
        return kept

    def handle_give_back(
        self, message: messages.GiveBack, now: clock.Millis
    ) -> None:
        """Takes back requests that were not sent."""
        account = self._find_account(message.account)
        if account is None:
            return
        if self._keepers.rank(message.account)[:1] != (self._own,):
            self._left[message.account] = (message.count, now)
            return
        kept = self._get_kept(message.account, account, now)
        kept.bucket.give_back(message.count)

    def hand_over(self, is_listed: bool, now: clock.Millis) -> None:
        """Sends what is left of the accounts that others keep from now on.

        Args:
            is_listed: Whether this entry has been listed all the time, so that
                nobody else has kept its accounts.
            now: The time.
        """
        self._answered.clear()
        for name, (_, left_at) in list(self._left.items()):
            if now - left_at > LEFT_MS:
                del self._left[name]
        for name, kept in list(self._kept.items()):
            ranked = self._keepers.rank(name)
            if not ranked or ranked[0] == self._own:
                continue
            del self._kept[name]
            kept.bucket.refill(kept.bucket.allowance, now)
            if is_listed:
                left = messages.GiveBack(self._own, name, kept.bucket.level)
                self._send(ranked[0], left)
