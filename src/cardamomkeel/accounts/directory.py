"""Finds a client account by the digest of one of its keys."""

import collections.abc

from cardamomkeel.routes import document as document_lib


class Directory:
    """The client accounts in force."""

    def __init__(
        self, accounts: collections.abc.Iterable[document_lib.Account]
    ):
        self._by_digest = {
            digest: account
            for account in accounts
            for digest in account.key_digests
        }

    def find(self, digest: str) -> document_lib.Account | None:
        """Returns the account that holds a key, or None.

        The time of a look-up tells at most something of the digest, from which
        no key follows.
        """
        return self._by_digest.get(digest)
