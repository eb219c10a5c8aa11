"""Check documents together."""

from collections.abc import Iterator

from geraniumlead.checks.document_set import DocumentSet, NamedDocument
from geraniumlead.checks.message import CheckMessage
from geraniumlead.checks.registry import set_checks
from geraniumlead.documents.contract import ContractDocument
from geraniumlead.documents.data_centre import DataCentreDocument
from geraniumlead.documents.document_keys import key_of_document
from geraniumlead.documents.index import IndexDocument
from geraniumlead.documents.instance_list import InstanceListDocument
from geraniumlead.documents.upstream_list import UpstreamListDocument


@set_checks.register(DocumentSet)
def check_unique_keys(document_set: DocumentSet) -> Iterator[tuple[NamedDocument, CheckMessage]]:
    """Find two contracts for one customer, or two documents with the same key."""
    name_of_key: dict[str, str] = {}
    for item in document_set.documents:
        key = key_of_document(item.document)
        if key in name_of_key:
            conflict = "two contracts for one customer" if "/contracts/" in key else "two documents"
            yield (
                item,
                CheckMessage(
                    id="GL-X001",
                    path="$",
                    text=f"{conflict}: {key} stands in {name_of_key[key]} too",
                    hint="one customer has one contract; one key has one document",
                ),
            )
        name_of_key.setdefault(key, item.name)


@set_checks.register(DocumentSet)
def check_shared_credentials(
    document_set: DocumentSet,
) -> Iterator[tuple[NamedDocument, CheckMessage]]:
    """Find a credential of two contracts, which does not identify one customer."""
    customer_of_digest: dict[str, str] = {}
    for item in document_set.of_type(ContractDocument):
        for position, digest in enumerate(item.document.credentials_sha256):
            other = customer_of_digest.setdefault(digest, item.document.customer)
            if other != item.document.customer:
                yield (
                    item,
                    CheckMessage(
                        id="GL-X002",
                        path=f"$.credentials_sha256[{position}]",
                        text=f"the credential is that of {other!r} too",
                        hint="issue a new token for one of them",
                    ),
                )


@set_checks.register(DocumentSet)
def check_shared_ids(document_set: DocumentSet) -> Iterator[tuple[NamedDocument, CheckMessage]]:
    """Find upstreams and instances with the same id in two data centres."""
    for kind, entries_name, id_name, check_id in (
        (UpstreamListDocument, "upstreams", "upstream_id", "GL-X003"),
        (InstanceListDocument, "instances", "instance_id", "GL-X004"),
    ):
        data_centre_of_id: dict[str, str] = {}
        for item in document_set.of_type(kind):
            for position, entry in enumerate(getattr(item.document, entries_name)):
                name = getattr(entry, id_name)
                other = data_centre_of_id.setdefault(name, item.document.data_centre)
                if other != item.document.data_centre:
                    yield (
                        item,
                        CheckMessage(
                            id=check_id,
                            path=f"$.{entries_name}[{position}].{id_name}",
                            text=f"{name!r} is listed in {other!r} too",
                        ),
                    )


@set_checks.register(DocumentSet)
def check_replicas_are_listed(
    document_set: DocumentSet,
) -> Iterator[tuple[NamedDocument, CheckMessage]]:
    """Find replicas that no list names, or that serve another service."""
    lists = document_set.of_type(UpstreamListDocument)
    if not lists:
        return
    services = {
        entry.upstream_id: entry.service for item in lists for entry in item.document.upstreams
    }
    for item in document_set.of_type(IndexDocument):
        for shard_index, shard in enumerate(item.document.shards):
            for replica_index, name in enumerate(shard.replicas):
                path = f"$.shards[{shard_index}].replicas[{replica_index}]"
                service = services.get(name)
                if service is None:
                    text = f"no list of upstreams names {name!r}"
                    yield item, CheckMessage(id="GL-X005", path=path, text=text)
                elif service != item.document.service:
                    text = f"{name!r} serves {service!r}"
                    yield item, CheckMessage(id="GL-X006", path=path, text=text)


@set_checks.register(DocumentSet)
def check_services_have_indexes(
    document_set: DocumentSet,
) -> Iterator[tuple[NamedDocument, CheckMessage]]:
    """Find traffic classes of a service that has no serving index."""
    indexes = document_set.of_type(IndexDocument)
    if not indexes:
        return
    services = {item.document.service for item in indexes if item.document.state == "serving"}
    for item in document_set.of_type(ContractDocument):
        for position, traffic_class in enumerate(item.document.classes):
            if traffic_class.service not in services:
                yield (
                    item,
                    CheckMessage(
                        id="GL-X007",
                        path=f"$.classes[{position}].service",
                        text=f"the service {traffic_class.service!r} has no serving index",
                    ),
                )


@set_checks.register(DocumentSet)
def check_data_centres_exist(
    document_set: DocumentSet,
) -> Iterator[tuple[NamedDocument, CheckMessage]]:
    """Find lists of a data centre that no document describes."""
    known = {item.document.name for item in document_set.of_type(DataCentreDocument)}
    if not known:
        return
    for kind in (UpstreamListDocument, InstanceListDocument):
        for item in document_set.of_type(kind):
            if item.document.data_centre not in known:
                yield (
                    item,
                    CheckMessage(
                        id="GL-X008",
                        path="$.data_centre",
                        text=f"no document describes {item.document.data_centre!r}",
                    ),
                )
