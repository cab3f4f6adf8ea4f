"""Admits requests that carry a key of a client account."""

import dataclasses

from cardamomkeel.accounts import credentials
from cardamomkeel.gateway import admission
from cardamomkeel.gateway import request_context
from cardamomkeel.routing import session as session_lib

UNKNOWN_KEY = "the key belongs to no account"
# Retry-After of an entry that can't tell whether a key is new.
OUT_OF_TOUCH_RETRY_AFTER_MS = 500.0


class KeyCheck:
    """Identifies the account of a request by its key, and removes the key.

    Does nothing while the routes in force have no accounts.
    """

    def __init__(self, session: session_lib.Session, account_header: str):
        """Creates the check.

        Args:
            session: Has the accounts in force.
            account_header: The header that tells targets the account.
        """
        self._session = session
        self._account_header = account_header.lower().encode()

    async def admit(
        self, ctx: request_context.RequestContext
    ) -> admission.Refusal | None:
        """Returns why a request is refused, or None if it is admitted."""
        directory = self._session.view.table.accounts
        if directory is None:
            return None
        req = ctx.outgoing.req
        found = credentials.read(req.headers)
        req.headers = credentials.strip(req.headers, self._account_header)
        ctx.key_digest = found.digest
        account = directory.find(found.digest)
        if account is not None:
            ctx.account = account
            ctx.outgoing = dataclasses.replace(
                ctx.outgoing, account=account.name.encode()
            )
            return None
        if ctx.route.keyless:
            return None
        return self._refuse(found.fault or UNKNOWN_KEY, bool(found.digest))

    def recheck(
        self, ctx: request_context.RequestContext
    ) -> admission.Refusal | None:
        """Returns a refusal if the key was withdrawn while a request waited."""
        if ctx.account is None or ctx.route.keyless:
            return None
        directory = self._session.view.table.accounts
        if directory is None:
            return None
        account = directory.find(ctx.key_digest)
        if account is not None and account.name == ctx.account.name:
            return None
        if account is not None:
            return admission.Refusal(503, "the key has changed its account")
        return self._refuse(UNKNOWN_KEY, True)

    def _refuse(self, reason: str, may_be_new: bool) -> admission.Refusal:
        """Returns a refusal.

        An entry without a lease may not have heard of a new key, and promises
        that the request has not run.
        """
        if may_be_new and not self._session.is_fresh():
            return admission.Refusal(
                503,
                "this entry can't confirm the key now",
                OUT_OF_TOUCH_RETRY_AFTER_MS,
            )
        return admission.Refusal(401, reason)

    def note_end(self, ctx: request_context.RequestContext, ran: bool) -> None:
        """Does nothing: a key may be used again at once."""
