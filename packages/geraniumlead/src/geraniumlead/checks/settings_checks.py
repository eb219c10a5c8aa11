"""Check the settings of one instance."""

from collections.abc import Iterator

from geraniumlead.checks.addresses import has_valid_ip, has_valid_port
from geraniumlead.checks.duplicates import find_duplicates
from geraniumlead.checks.message import CheckMessage
from geraniumlead.checks.registry import document_checks
from geraniumlead.settings.instance_settings import InstanceSettings

LOG_LEVELS = ("debug", "info", "warning", "error")


@document_checks.register(InstanceSettings)
def check_addresses(settings: InstanceSettings) -> Iterator[CheckMessage]:
    """Find addresses that cannot be listened on or reached."""
    listen = settings.listen
    addresses = {
        "$.listen.callers": listen.callers,
        "$.listen.operators": listen.operators,
        "$.listen.peers": listen.peers,
    }
    for position, _ in find_duplicates(addresses.values()):
        yield CheckMessage(
            id="GL-P001",
            path=list(addresses)[position],
            text="the address is listened on twice",
            hint="callers, operators and peers each need an address",
        )
    for position, address in enumerate(settings.platform_addresses):
        addresses[f"$.platform_addresses[{position}]"] = address
    for path, address in addresses.items():
        if not has_valid_port(address) or not has_valid_ip(address):
            yield CheckMessage(
                id="GL-P002", path=path, text=f"{address} is no IP number with a port"
            )


@document_checks.register(InstanceSettings)
def check_log_level(settings: InstanceSettings) -> Iterator[CheckMessage]:
    """Find a log level that does not exist."""
    if settings.log_level not in LOG_LEVELS:
        yield CheckMessage(
            id="GL-P003",
            path="$.log_level",
            text=f"{settings.log_level!r} is no level",
            hint=f"one of {', '.join(LOG_LEVELS)}",
        )


@document_checks.register(InstanceSettings)
def check_timing(settings: InstanceSettings) -> Iterator[CheckMessage]:
    """Find intervals that contradict each other."""
    timing = settings.timing
    if timing.peer_timeout_ms <= timing.heartbeat_interval_ms:
        yield CheckMessage(
            id="GL-P004",
            path="$.timing.peer_timeout_ms",
            text="a peer times out before its next heartbeat is due",
            hint="allow for several heartbeat_interval_ms",
        )
    if timing.stop_bound_ms <= timing.stop_notice_ms:
        yield CheckMessage(
            id="GL-P005",
            path="$.timing.stop_bound_ms",
            text="the stop ends before the balancer has noticed it",
            hint="make stop_bound_ms larger than stop_notice_ms",
        )


@document_checks.register(InstanceSettings)
def check_keys(settings: InstanceSettings) -> Iterator[CheckMessage]:
    """Find an incomplete key pair, which would run peers without authentication."""
    if bool(settings.peer_public_key) != bool(settings.peer_secret_key):
        yield CheckMessage(
            id="GL-P006",
            path="$.peer_secret_key",
            text="only one key of the pair is set",
            hint="set both, or none for development",
        )
