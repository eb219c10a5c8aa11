"""Builders of test data, whose arguments are only the values that matter to a test."""

from hashlib import sha256

from msgspec.json import encode

from geraniumlead.documents import (
    ContractDocument,
    DataCentreDocument,
    DocumentKind,
    IndexDocument,
    InstanceEntry,
    InstanceListDocument,
    ShardEntry,
    TrafficClass,
    UpstreamEntry,
    UpstreamListDocument,
    VersionedValue,
    document_key,
)

CREDENTIAL = "secret-of-acme"


def build_traffic_class(**changes) -> TrafficClass:
    """Return a class of short idempotent requests."""
    values = {"name": "lookup", "service": "ledger", "priority": 0, "deadline_ms": 200}
    return TrafficClass(**(values | changes))


def build_contract(**changes) -> ContractDocument:
    """Return a contract with one class of lookups."""
    values = {
        "customer": "acme",
        "credentials_sha256": [sha256(CREDENTIAL.encode()).hexdigest()],
        "rate_per_s": 1000.0,
        "burst_requests": 100,
        "concurrent_requests": 100,
        "classes": [build_traffic_class()],
    }
    return ContractDocument(**(values | changes))


def build_upstream(number: int = 0, **changes) -> UpstreamEntry:
    """Return an upstream whose address follows from its number."""
    values = {
        "upstream_id": f"ledger-{number}",
        "service": "ledger",
        "address": f"127.0.0.1:{20_000 + number}",
        "slots": 2,
        "connections": 25,
    }
    return UpstreamEntry(**(values | changes))


def build_instance(number: int = 0, **changes) -> InstanceEntry:
    """Return an instance whose address follows from its number."""
    values = {"instance_id": f"noord-{number}", "peer_address": f"127.0.0.1:{30_000 + number}"}
    return InstanceEntry(**(values | changes))


def build_index(version: int = 1, shard_count: int = 4, replica_count: int = 2) -> IndexDocument:
    """Return an index whose shard s is held by upstreams s, s + shard_count and so on."""
    shards = [
        ShardEntry(
            shard=shard,
            replicas=[f"ledger-{shard + copy * shard_count}" for copy in range(replica_count)],
        )
        for shard in range(shard_count)
    ]
    return IndexDocument(service="ledger", version=version, shards=shards)


def build_documents(
    revision: int = 1,
    shard_count: int = 4,
    replica_count: int = 2,
    instance_count: int = 1,
    data_centre: str = "noord",
    contract: ContractDocument | None = None,
) -> tuple[VersionedValue, ...]:
    """Return every document of one small data centre at one revision."""
    upstreams = [build_upstream(number) for number in range(shard_count * replica_count)]
    instances = [build_instance(number) for number in range(instance_count)]
    documents = {
        document_key(DocumentKind.CONTRACT, "acme"): contract or build_contract(),
        document_key(DocumentKind.DATA_CENTRE, data_centre): DataCentreDocument(
            name=data_centre, region="noord"
        ),
        document_key(DocumentKind.UPSTREAM_LIST, data_centre): UpstreamListDocument(
            data_centre=data_centre, upstreams=upstreams
        ),
        document_key(DocumentKind.INDEX, "ledger", "1"): build_index(1, shard_count, replica_count),
        document_key(DocumentKind.INSTANCE_LIST, data_centre): InstanceListDocument(
            data_centre=data_centre, instances=instances
        ),
    }
    return tuple(
        VersionedValue(key=key, revision=revision, value=encode(document))
        for key, document in documents.items()
    )
