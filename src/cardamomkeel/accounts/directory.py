"""Finds a client account by the digest of one of its keys."""

import collections.abc

from cardamomkeel.routes import document as document_lib


class Directory:
    """The client accounts in force."""

    def __init__(
        self, accounts: collections.abc.Collection[document_lib.Account]
    ):
        self._by_digest = {
            digest: account
            for account in accounts
            for digest in account.key_digests
        }
        self._by_name = {account.name: account for account in accounts}

    def find(self, digest: str) -> document_lib.Account | None:
        """Returns the account that holds a key, or None.

        The time of a look-up tells at most something of the digest, from which
        no key follows.
        """
        return self._by_digest.get(digest)

    def get(self, name: str) -> document_lib.Account | None:
        """Returns an account by its name, or None."""
        return self._by_name.get(name)
