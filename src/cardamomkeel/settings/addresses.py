"""Checks addresses that settings name."""

import ipaddress

# The last port of TCP.
MAX_PORT = 65_535


def check(address: str) -> str:
    """Returns an address that is an IP number and a port.

    Raises:
        ValueError: It is not.
    """
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
        is_port = port.isdecimal() and 0 < int(port) <= MAX_PORT
    except ValueError:
        is_port = False
    if not is_port:
        raise ValueError(
            f"{address!r} is no address; write an IP number and a port, as "
            "10.0.0.1:7000"
        )
    return address
