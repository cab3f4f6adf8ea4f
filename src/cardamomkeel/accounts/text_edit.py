"""Adds and withdraws keys in a routes text, and preserves the rest of it."""

import collections.abc
import json
import re

import msgspec
from returns import result

from cardamomkeel import errors
from cardamomkeel.routes import document as document_lib
from cardamomkeel.routes import text as text_lib

SOURCE = "the routes in force"
_KEY_DIGESTS = re.compile(r"""["']?key_digests["']?\s*:\s*\[""")
# How many lists of keys near the name of an account are tried.
MAX_TRIES = 4

Result = result.Result[str, errors.Error]


def add_key(text: str, name: str, digest: str) -> Result:
    """Returns a routes text in which an account has one more key.

    Args:
        text: The routes text.
        name: The name of the account.
        digest: The digest of the key.
    """

    def add(account: document_lib.Account) -> document_lib.Account:
        keys = (digest, *account.key_digests)
        return msgspec.structs.replace(account, key_digests=keys)

    return _change(text, name, add, _list_additions(text, name, digest))


def withdraw_key(text: str, name: str, digest: str) -> Result:
    """Returns a routes text in which an account has lost a key.

    Args:
        text: The routes text.
        name: The name of the account.
        digest: The digest of the key.
    """

    def withdraw(account: document_lib.Account) -> document_lib.Account:
        keys = tuple(key for key in account.key_digests if key != digest)
        return msgspec.structs.replace(account, key_digests=keys)

    pattern = rf"""["']{digest}["']\s*,?[ \t]*|,\s*["']{digest}["']"""
    return _change(text, name, withdraw, [re.sub(pattern, "", text)])


def _change(
    text: str,
    name: str,
    change: collections.abc.Callable[
        [document_lib.Account], document_lib.Account
    ],
    candidates: collections.abc.Iterable[str],
) -> Result:
    """Returns the candidate that differs in nothing but the change."""
    parsed = text_lib.parse(text, SOURCE)
    if not isinstance(parsed, result.Success):
        return result.Failure(parsed.failure())
    document = parsed.unwrap().document
    accounts = document.accounts or ()
    found = [account for account in accounts if account.name == name]
    if not found:
        return result.Failure(
            errors.SettingsError(
                f"there is no account {name}",
                "add it to the routes text with `routes apply`",
            )
        )
    changed = change(found[0])
    if set(changed.key_digests) == set(found[0].key_digests):
        return result.Failure(
            errors.SettingsError(
                f"the keys of the account {name} would stay the same",
                "see `accounts list` for the digests of its keys",
            )
        )
    expected = msgspec.structs.replace(
        document,
        accounts=tuple(changed if a.name == name else a for a in accounts),
    )
    for candidate in candidates:
        read = text_lib.parse(candidate, SOURCE)
        if read.map(lambda new: new.document == expected).value_or(False):
            return result.Success(candidate)
    return result.Failure(
        errors.SettingsError(
            f"the account {name} can't be changed alone in this text",
            "make this change with `routes show --text` and `routes apply`",
        )
    )


def _list_additions(
    text: str, name: str, digest: str
) -> collections.abc.Iterator[str]:
    """Yields the text with the key in each list near the account's name."""
    for quoted in (json.dumps(name, ensure_ascii=False), f"'{name}'"):
        for found in re.finditer(re.escape(quoted), text):
            near = found.start()
            starts = [
                (abs(lists.end() - near), lists.end())
                for lists in _KEY_DIGESTS.finditer(text)
            ]
            for _, at in sorted(starts)[:MAX_TRIES]:
                yield f'{text[:at]}"{digest}"{text[at:]}'
                yield f'{text[:at]}"{digest}", {text[at:]}'
