"""Validate ``IP:port`` addresses."""

from ipaddress import ip_address

MAX_PORT = 65_535


def has_valid_port(address: str) -> bool:
    """Return whether the port is between 1 and 65535."""
    port = address.rpartition(":")[2]
    return port.isascii() and port.isdecimal() and 1 <= int(port) <= MAX_PORT


def has_valid_ip(address: str) -> bool:
    """Return whether the part before the port is an IP address."""
    try:
        ip_address(address.rpartition(":")[0].strip("[]"))
    except ValueError:
        return False
    return True
