"""The documents that the operator of a deployment publishes."""

from geraniumlead.documents import (
    DataCentreDocument,
    DocumentKind,
    IndexDocument,
    InstanceEntry,
    InstanceListDocument,
    ShardEntry,
    UpstreamEntry,
    UpstreamListDocument,
    document_key,
)
from geraniumlead_standins.deployments.addresses import AddressPlan
from geraniumlead_standins.deployments.deployment import Deployment
from geraniumlead_standins.deployments.service_size import ServiceSize

FIRST_VERSION = 1


def build_documents(deployment: Deployment, addresses: AddressPlan) -> dict[str, object]:
    """Return all documents by the key under which they are published."""
    documents: dict[str, object] = {}
    for contract in deployment.contracts:
        documents[document_key(DocumentKind.CONTRACT, contract.customer)] = contract
    for name in deployment.data_centres:
        documents[document_key(DocumentKind.DATA_CENTRE, name)] = DataCentreDocument(
            name=name, region=name
        )
        documents[document_key(DocumentKind.UPSTREAM_LIST, name)] = build_upstream_list(
            deployment, addresses, name
        )
        documents[document_key(DocumentKind.INSTANCE_LIST, name)] = build_instance_list(
            deployment, addresses, name
        )
    for service in deployment.services:
        index = build_index(deployment, service, FIRST_VERSION)
        documents[document_key(DocumentKind.INDEX, service.name, str(FIRST_VERSION))] = index
    return documents


def build_upstream_list(
    deployment: Deployment, addresses: AddressPlan, data_centre: str
) -> UpstreamListDocument:
    """Return the list of a data centre's upstreams."""
    entries = [
        UpstreamEntry(
            upstream_id=upstream_id,
            service=service.name,
            address=addresses.upstreams[upstream_id],
            slots=service.slots,
            connections=service.connections,
        )
        for service in deployment.services
        for shard in range(service.shards)
        for upstream_id in deployment.upstream_ids(data_centre, service, shard)
    ]
    return UpstreamListDocument(data_centre=data_centre, upstreams=entries)


def build_instance_list(
    deployment: Deployment, addresses: AddressPlan, data_centre: str
) -> InstanceListDocument:
    """Return the list of a data centre's entry instances."""
    entries = [
        InstanceEntry(instance_id=name, peer_address=addresses.instances[name][2])
        for name in deployment.instance_ids(data_centre)
    ]
    return InstanceListDocument(data_centre=data_centre, instances=entries)


def build_index(deployment: Deployment, service: ServiceSize, version: int) -> IndexDocument:
    """Return an index version whose shards are all held in every data centre."""
    shards = [
        ShardEntry(
            shard=shard,
            replicas=[
                upstream_id
                for name in deployment.data_centres
                for upstream_id in deployment.upstream_ids(name, service, shard)
            ],
        )
        for shard in range(service.shards)
    ]
    return IndexDocument(service=service.name, version=version, shards=shards)
