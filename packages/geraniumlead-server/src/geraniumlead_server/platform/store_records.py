"""Decode the values in the platform's store."""

from re import ASCII, compile
from typing import Annotated, Literal

from msgspec import DecodeError, Meta, Struct, ValidationError
from msgspec.json import Decoder

from geraniumlead.checks.addresses import has_valid_ip, has_valid_port
from geraniumlead.forwarding import (
    ConfigurationSeen,
    EvacuationSeen,
    UpstreamSeen,
    UpstreamWithdrawn,
)
from geraniumlead.forwarding.updates import PublishedUpdate
from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead.routes import (
    FanOut,
    OneService,
    PublishedConfiguration,
    RequestLimits,
    Route,
    RouteTable,
    RouteTarget,
    SplitServices,
    UpstreamService,
)
from geraniumlead_server.platform.names import (
    CONFIGURATION_KEY,
    EVACUATION_PREFIX,
    UPSTREAM_PREFIX,
)

Name = Annotated[str, Meta(min_length=1)]
NonNegative = Annotated[float, Meta(ge=0)]

MAX_SLOTS = 1_000_000

MAX_COLD_MS = 86_400_000.0
"""Longest time, a day, that an upstream may say it is cold."""

MAX_WHOLE_NUMBER = 2**53
"""Largest number that JSON carries exactly between all writers."""

WholeNumber = Annotated[int, Meta(ge=0, le=MAX_WHOLE_NUMBER)]

IPV4_AND_PORT = compile(r"[0-9.]+:[0-9]{1,5}", ASCII)
"""An address with a port, in ASCII digits; which numbers they are is checked apart."""

HEADER_VALUE = compile(r"[!-~]+", ASCII)
"""An id that a header can hold: visible ASCII characters."""

SAFE = "safe"
READY = "ready"


class ServerBody(Struct, rename="camel"):
    """An upstream's entry. ``version`` is its software version, which is not used."""

    service: Name
    addr: str
    zone: Name
    slots: Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
    state: Literal["ready", "draining"]
    seq: WholeNumber
    version: str
    warmup_left_ms: Annotated[float, Meta(ge=0, le=MAX_COLD_MS)] = 0.0
    born: WholeNumber | None = None


class WeightBody(Struct):
    """One service of a split route, and its weight."""

    service: Name
    weight: NonNegative


class RouteBody(Struct, rename="camel"):
    """A route. ``type`` says whether requests may be repeated.

    ``oldest_version`` is not a version, but the smallest share of the shards in an answer.
    ``fanout`` lists the shards.
    """

    name: str
    hostname: str
    prefix: str
    type: str
    timeout_ms: NonNegative
    max_attempts: Annotated[int, Meta(ge=1)]
    latency_goal_ms: NonNegative = 0.0
    priority: int = 0
    service: Name | None = None
    traffic_split: list[WeightBody] | None = None
    fanout: list[Name] | None = None
    top_k: Annotated[int, Meta(ge=0)] = 0
    oldest_version: Annotated[float, Meta(ge=0, le=1)] = 0.0
    allowed_regions: list[str] = []


class ServiceBody(Struct, rename="camel"):
    """A service. ``max_conns`` limits the connections of all callers together.

    ``warmup_per_s`` is how many requests a cold upstream accepts each second from all callers
    together; 0 means no limit.
    """

    name: Name
    max_conns: Annotated[int, Meta(ge=0)] = 0
    warmup_per_s: NonNegative = 0.0
    warmup_s: NonNegative = 0.0


class LimitsBody(Struct, rename="camel", frozen=True):
    """Limits on callers' requests and connections."""

    max_header_bytes: int = RequestLimits().header_bytes
    max_body_bytes: int = RequestLimits().body_bytes
    header_timeout_ms: float = RequestLimits().header_timeout_ms
    idle_timeout_ms: float = RequestLimits().idle_timeout_ms


class ConfigurationBody(Struct, rename="camel"):
    """The operators' configuration."""

    version: int
    routes: list[RouteBody]
    services: list[ServiceBody]
    limits: LimitsBody = LimitsBody()


_SERVER = Decoder(ServerBody)
_CONFIGURATION = Decoder(ConfigurationBody)


class UnreadableValue(Struct, frozen=True):
    """A value that could not be decoded, and the reason."""

    key: str
    reason: str


def read_item(key: str, value: bytes | None) -> PublishedUpdate | UnreadableValue | None:
    """Return the update in a key's value; None for keys that are not used.

    ``value`` is None when the key was deleted.
    """
    if key.startswith(UPSTREAM_PREFIX):
        upstream_id = key.removeprefix(UPSTREAM_PREFIX)
        if value is None:
            return UpstreamWithdrawn(upstream_id)
        return _read_upstream(key, upstream_id, value)
    if key.startswith(EVACUATION_PREFIX):
        return EvacuationSeen(key.removeprefix(EVACUATION_PREFIX), value is not None)
    if key == CONFIGURATION_KEY and value is not None:
        return _read_configuration(value)
    return None


def _read_upstream(key: str, upstream_id: str, value: bytes) -> PublishedUpdate | UnreadableValue:
    try:
        body = _SERVER.decode(value)
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        return UnreadableValue(key, str(error))
    if not HEADER_VALUE.fullmatch(upstream_id):
        return UnreadableValue(key, "the id has characters that no header can hold")
    if not _is_address(body.addr):
        return UnreadableValue(key, f"{body.addr!r:.60} is no IPv4 address with a port")
    return UpstreamSeen(
        UpstreamRecord(
            upstream_id=upstream_id,
            service=body.service,
            address=body.addr,
            data_centre=body.zone,
            slots=body.slots,
            is_ready=body.state == READY,
            cold_left_ms=body.warmup_left_ms,
            started_ms=body.born,
        )
    )


def _is_address(text: str) -> bool:
    """Return whether a text has four octets and a port.

    Failure: an address that no connection can be opened to counts as an upstream; each attempt at
    it is lost, and other upstreams get what it cannot take.
    """
    return bool(IPV4_AND_PORT.fullmatch(text)) and has_valid_ip(text) and has_valid_port(text)


def _read_configuration(value: bytes) -> PublishedUpdate | UnreadableValue:
    try:
        body = _CONFIGURATION.decode(value)
        routes = RouteTable([_read_route(route) for route in body.routes])
    except (DecodeError, ValidationError, UnicodeDecodeError, RecursionError) as error:
        return UnreadableValue(CONFIGURATION_KEY, str(error))
    services = {
        found.name: UpstreamService(
            name=found.name,
            max_connections=found.max_conns,
            cold_requests_per_s=found.warmup_per_s,
            cold_ms=found.warmup_s * 1000.0,
        )
        for found in body.services
    }
    limits = RequestLimits(
        header_bytes=body.limits.max_header_bytes,
        body_bytes=body.limits.max_body_bytes,
        header_timeout_ms=body.limits.header_timeout_ms,
        idle_timeout_ms=body.limits.idle_timeout_ms,
    )
    return ConfigurationSeen(PublishedConfiguration(body.version, routes, services, limits))


def _read_route(body: RouteBody) -> Route:
    return Route(
        name=body.name,
        host=body.hostname.lower(),
        prefix=body.prefix,
        target=_read_target(body),
        is_idempotent=body.type == SAFE,
        timeout_ms=body.timeout_ms,
        latency_goal_ms=body.latency_goal_ms or body.timeout_ms,
        priority=body.priority,
        max_upstreams=body.max_attempts,
        allowed_regions=frozenset(body.allowed_regions),
    )


def _read_target(body: RouteBody) -> RouteTarget:
    if body.fanout:
        return FanOut(tuple(body.fanout), body.top_k, body.oldest_version)
    if body.traffic_split:
        return SplitServices(tuple((item.service, item.weight) for item in body.traffic_split))
    if body.service:
        return OneService(body.service)
    raise ValidationError(f"the route {body.name} names no service")
