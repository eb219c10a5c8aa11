"""Look at ``IP:port`` addresses."""

from ipaddress import ip_address

MOST_PORT = 65_535


def has_valid_port(address: str) -> bool:
    """Return whether the port can be reached."""
    return 1 <= int(address.rpartition(":")[2]) <= MOST_PORT


def has_valid_ip(address: str) -> bool:
    """Return whether the part before the port is an IP number."""
    try:
        ip_address(address.rpartition(":")[0].strip("[]"))
    except ValueError:
        return False
    return True
