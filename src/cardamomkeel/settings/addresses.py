"""Validates addresses in settings."""

import ipaddress

# The highest port number of TCP.
MAX_PORT = 65_535


def check(address: str) -> str:
    """Returns the address if it is an IPv4 address and a port.

    Raises:
        ValueError: The address has another form.
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
