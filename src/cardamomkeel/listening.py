"""Opens listening sockets early and reports errors in binding addresses."""

import collections.abc
import contextlib
import socket

from cardamomkeel import errors

# The maximum number of connections that wait to be accepted.
BACKLOG = 1024

# Sockets from `open_early` that are not in use yet, by address.
_opened: dict[str, socket.socket] = {}


class ListenError(Exception):
    """An address can't be listened at.

    Attributes:
        error: The cause and the remedy.
    """

    def __init__(self, address: str, exc: OSError):
        super().__init__(f"can't listen at {address}: {exc}")
        self.error = errors.SettingsError(
            str(self),
            "end what listens there, or correct the address in the settings",
        )


@contextlib.contextmanager
def report_bind_errors(address: str) -> collections.abc.Iterator[None]:
    """Converts errors in listening at an address to a ListenError.

    Raises:
        ListenError: The address is in use, or does not belong to this VM.
    """
    try:
        yield
    except OSError as exc:
        raise ListenError(address, exc) from exc


def open_early(address: str) -> None:
    """Listens at an address before the program that serves it is loaded.

    Callers that connect in the meantime wait to be accepted. A refused
    connection would use up one of their few attempts.

    Raises:
        OSError: The address can't be listened at.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setblocking(False)
        sock.bind((host, int(port)))
        sock.listen(BACKLOG)
    except OSError:
        sock.close()
        raise
    _opened[address] = sock


def pop_opened(address: str) -> socket.socket | None:
    """Returns the early opened socket of an address and forgets it."""
    return _opened.pop(address, None)
