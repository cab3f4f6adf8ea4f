"""Validates addresses, an IPv4 address and a port."""

import ipaddress

# The highest port number of TCP.
MAX_PORT = 65_535
_MAX_PORT_DIGITS = 5


def split(address: str) -> tuple[str, int]:
    """Returns the host and the port of an address.

    Raises:
        ValueError: The address has another form, or the port is out of range.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_valid = (
            port.isascii()
            and port.isdecimal()
            and len(port) <= _MAX_PORT_DIGITS
            and 0 < int(port) <= MAX_PORT
        )
    except ValueError:
        is_valid = False
    if not is_valid:
        raise ValueError(
            f"{address[:100]!r} is no address; write an IP number and a port, "
            "as 10.0.0.1:7000"
        )
    return host, int(port)


def check(address: str) -> str:
    """Returns the address if it is an IPv4 address and a port.

    Raises:
        ValueError: The address has another form.
    """
    split(address)
    return address


def check_peer(address: str) -> str:
    """Returns the address if another process can listen at it.

    Raises:
        ValueError: The address has another form, or names no single VM.
    """
    host = ipaddress.IPv4Address(split(address)[0])
    if host.is_unspecified or host.is_multicast or host.is_reserved:
        raise ValueError(f"{address!r} is not the address of one VM")
    return address
