"""Validate ``IP:port`` addresses."""

from ipaddress import ip_address

MAX_PORT = 65_535


def has_valid_port(address: str) -> bool:
    """Return whether the port is between 1 and 65535."""
    return 1 <= int(address.rpartition(":")[2]) <= MAX_PORT


def has_valid_ip(address: str) -> bool:
    """Return whether the part before the port is an IP address."""
    try:
        ip_address(address.rpartition(":")[0].strip("[]"))
    except ValueError:
        return False
    return True
