"""Build one instance in memory, with any number of upstreams, peers and contracts."""

from random import Random

from msgspec.json import encode

from geraniumlead.documents import (
    ContractDocument,
    DataCentreDocument,
    IndexDocument,
    InstanceEntry,
    InstanceListDocument,
    ShardEntry,
    TrafficClass,
    UpstreamEntry,
    UpstreamListDocument,
    VersionedValue,
)
from geraniumlead.documents.decoding import key_of_document
from geraniumlead.events import DocumentsReceived
from geraniumlead.instance import Instance
from geraniumlead.settings import InstanceSettings, ListenSettings
from geraniumlead_standins.capacity.echo_driver import EchoDriver

OWN_NAME = "noord-0"
LISTEN = ListenSettings(callers="127.0.0.1:1", operators="127.0.0.1:2", peers="127.0.0.1:3")


def build_contract(number: int) -> ContractDocument:
    """Return a contract with one class and limits too high to take effect."""
    return ContractDocument(
        customer=f"customer-{number}",
        credentials_sha256=[f"{number:064x}"],
        rate_per_s=1_000_000.0,
        burst_requests=1_000_000,
        concurrent_requests=1_000_000,
        classes=[TrafficClass(name="lookup", service="lookup", priority=0, deadline_ms=10_000)],
    )


def build_upstreams(count: int) -> UpstreamListDocument:
    """Return upstreams with enough slots for all concurrent calls of a measurement."""
    entries = [
        UpstreamEntry(
            upstream_id=f"lookup-{number}",
            service="lookup",
            address=f"127.0.0.1:{number + 1}",
            slots=1_000,
            connections=1_000,
        )
        for number in range(count)
    ]
    return UpstreamListDocument(data_centre="noord", upstreams=entries)


def build_documents(shards: int, instances: int = 1, contracts: int = 1) -> tuple:
    """Return the published values of one data centre."""
    documents: list = [build_contract(number) for number in range(contracts)]
    documents.append(DataCentreDocument(name="noord", region="noord"))
    documents.append(build_upstreams(shards))
    index_shards = [
        ShardEntry(shard=number, replicas=[f"lookup-{number}"]) for number in range(shards)
    ]
    documents.append(IndexDocument(service="lookup", version=1, shards=index_shards))
    entries = [
        InstanceEntry(instance_id=f"noord-{number}", peer_address=f"127.0.0.1:{number + 1}")
        for number in range(instances)
    ]
    documents.append(InstanceListDocument(data_centre="noord", instances=entries))
    return tuple(
        VersionedValue(key_of_document(document), 1, encode(document)) for document in documents
    )


def build_instance(shards: int, instances: int = 1, contracts: int = 1) -> Instance:
    """Return a configured instance that has received nothing from its peers yet."""
    settings = InstanceSettings(
        instance_id=OWN_NAME,
        data_centre="noord",
        listen=LISTEN,
        platform_addresses=["127.0.0.1:4"],
    )
    instance = Instance(settings, Random(1), 0.0)
    instance.start(0.0)
    documents = build_documents(shards, instances, contracts)
    freshness = instance.parts.freshness
    instance.handle(DocumentsReceived(1, documents, True, freshness.read_number), 0.0)
    return instance


def build_driver(shards: int, instances: int = 1, contracts: int = 1) -> EchoDriver:
    """Return the driver of a configured instance, after ``settle``."""
    instance = build_instance(shards, instances, contracts)
    driver = EchoDriver(instance, [f"noord-{number}" for number in range(1, instances)])
    driver.settle()
    return driver
