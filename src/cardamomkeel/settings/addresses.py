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
    is_number = (
        port.isascii() and port.isdecimal() and len(port) <= _MAX_PORT_DIGITS
    )
    if is_number and 0 < int(port) <= MAX_PORT and _is_ipv4(host):
        return host, int(port)
    raise ValueError(
        f"{address[:100]!r} is no address; write an IP number and a port, as "
        "10.0.0.1:7000"
    )


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
    host, _ = split(address)
    parsed = ipaddress.IPv4Address(host)
    if parsed.is_unspecified or parsed.is_multicast or parsed.is_reserved:
        raise ValueError(f"{address!r} is not the address of one VM")
    return address


def _is_ipv4(host: str) -> bool:
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return True
