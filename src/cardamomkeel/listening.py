"""Listens at addresses, and says what is wrong where that can't be done."""

import collections.abc
import contextlib
import socket

from cardamomkeel import errors

# Connections that may wait to be accepted.
BACKLOG = 1024

# Sockets that were opened early, by address.
_opened: dict[str, socket.socket] = {}


class ListenError(Exception):
    """An address that can't be listened at.

    Attributes:
        error: What is wrong, and what to do.
    """

    def __init__(self, address: str, exc: OSError):
        super().__init__(f"can't listen at {address}: {exc}")
        self.error = errors.SettingsError(
            str(self),
            "end what listens there, or correct the address in the settings",
        )


@contextlib.contextmanager
def report_bind_errors(address: str) -> collections.abc.Iterator[None]:
    """Names the address that is being listened at.

    Raises:
        ListenError: It is in use, or none of this VM.
    """
    try:
        yield
    except OSError as exc:
        raise ListenError(address, exc) from exc


def open_early(address: str) -> None:
    """Listens at an address before the program that serves it is loaded.

    Callers that come in between wait to be accepted; refused, they would have
    used up one of their few attempts.

    Raises:
        OSError: It can't be listened at.
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
    """Hands over the socket of an address that was opened early, once."""
    return _opened.pop(address, None)
