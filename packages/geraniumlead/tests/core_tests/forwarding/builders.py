"""Builders of routes, upstreams, requests and answers for the forwarding tests."""

from geraniumlead.forwarding import (
    Completed,
    ConfigurationSeen,
    ForwardedRequest,
    ForwardingSettings,
    PublishedUpdates,
    UpstreamSeen,
)
from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead.routes import (
    FanOut,
    OneService,
    PublishedConfiguration,
    Route,
    RouteTable,
    RouteTarget,
    UpstreamService,
)

HOST = "search.example"
REGIONS = {"noord-a": "noord", "midden-a": "midden", "zuid-a": "zuid"}


def build_settings(instance_id: str = "entry-noord-1", **changes) -> ForwardingSettings:
    values = {
        "instance_id": instance_id,
        "data_centre": "noord-a",
        "address": "10.1.0.1:7000",
        "regions": REGIONS,
        "extra_share": 0.2,
        "extra_slack": 50.0,
    }
    return ForwardingSettings(**(values | changes))


def build_route(target: RouteTarget | None = None, **changes) -> Route:
    values = {
        "name": "pages",
        "host": HOST,
        "prefix": "/pages/",
        "target": target or OneService("reader"),
        "is_idempotent": True,
        "timeout_ms": 2_000.0,
        "latency_goal_ms": 300.0,
        "priority": 1,
        "max_upstreams": 2,
        "allowed_regions": frozenset(),
    }
    return Route(**(values | changes))


def build_fan_out(shard_count: int = 4, min_share: float = 0.5, **changes) -> Route:
    shards = tuple(f"shard-{number}" for number in range(shard_count))
    return build_route(FanOut(shards, 3, min_share), **changes)


def build_configuration(*routes: Route, version: int = 1) -> PublishedConfiguration:
    services = {
        name: UpstreamService(name, 26, 0.0) for route in routes for name in route.services()
    }
    return PublishedConfiguration(version, RouteTable(routes), services)


def build_record(upstream_id: str, service: str = "reader", **changes) -> UpstreamRecord:
    values = {
        "upstream_id": upstream_id,
        "service": service,
        "address": f"10.9.0.{sum(upstream_id.encode()) % 250}:80",
        "data_centre": "noord-a",
        "slots": 2,
        "is_ready": True,
    }
    return UpstreamRecord(**(values | changes))


def build_updates(
    configuration: PublishedConfiguration,
    *records: UpstreamRecord,
    is_snapshot: bool = True,
) -> PublishedUpdates:
    updates = (ConfigurationSeen(configuration), *(UpstreamSeen(record) for record in records))
    return PublishedUpdates(updates, is_snapshot)


def build_request(key: int = 1, now_ms: float = 0.0, **changes) -> ForwardedRequest:
    values = {
        "key": key,
        "request_id": f"request-{key}",
        "method": "GET",
        "host": HOST,
        "path": "/pages/1",
        "target": "/pages/1?x=%2F",
        "headers": (("accept", "*/*"),),
        "body": b"",
        "arrived_ms": now_ms,
        "wait_ms": 1_000.0,
    }
    return ForwardedRequest(**(values | changes))


def build_answer(body: bytes = b"answer", status: int = 200, signature: str = "sig") -> Completed:
    return Completed(status, (("Response-Signature", signature),), body, signature)
