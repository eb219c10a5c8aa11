from dataclasses import dataclass, field

from geraniumlead.configuration.placed_upstream import PlacedUpstream
from geraniumlead.documents import (
    ContractDocument,
    DataCentreDocument,
    IndexDocument,
    InstanceEntry,
    InstanceListDocument,
    UpstreamListDocument,
)


@dataclass(slots=True)
class ClusterView:
    """The accepted documents by name, in the form that decisions need.

    ``indexes`` maps a service to its serving index versions, newest first.
    ``customer_of_credential`` maps the digest of a bearer token to a customer.
    ``ambiguous_names`` are customers that share a credential, and upstreams in the lists of two
    data centres. Each of these documents is valid on its own, so they are in force, and the
    status report lists the names.
    """

    contracts: dict[str, ContractDocument] = field(default_factory=dict)
    data_centres: dict[str, DataCentreDocument] = field(default_factory=dict)
    upstreams: dict[str, PlacedUpstream] = field(default_factory=dict)
    indexes: dict[str, tuple[IndexDocument, ...]] = field(default_factory=dict)
    instances: dict[str, tuple[InstanceEntry, ...]] = field(default_factory=dict)
    customer_of_credential: dict[str, str] = field(default_factory=dict)
    ambiguous_names: set[str] = field(default_factory=set)

    @classmethod
    def from_documents(cls, documents: list) -> "ClusterView":
        """Build a view; the order of ``documents`` does not matter."""
        view = cls()
        for document in documents:
            view._add(document)
        for service, versions in view.indexes.items():
            view.indexes[service] = tuple(sorted(versions, key=lambda index: -index.version))
        return view

    def _add(self, document) -> None:
        match document:
            case ContractDocument():
                self.contracts[document.customer] = document
                for digest in document.credentials_sha256:
                    self._map_credential(digest, document.customer)
            case DataCentreDocument():
                self.data_centres[document.name] = document
            case UpstreamListDocument():
                for entry in document.upstreams:
                    self._add_upstream(PlacedUpstream(entry, document.data_centre))
            case IndexDocument(state="serving"):
                versions = self.indexes.get(document.service, ())
                self.indexes[document.service] = (*versions, document)
            case InstanceListDocument():
                self.instances[document.data_centre] = tuple(document.instances)

    def _map_credential(self, digest: str, customer: str) -> None:
        other = self.customer_of_credential.get(digest)
        if other not in (None, customer):
            # Instances receive the two contracts in different orders. The alphabetically first
            # name is the same on all of them.
            self.ambiguous_names |= {other, customer}
            customer = min(other, customer)
        self.customer_of_credential[digest] = customer

    def _add_upstream(self, placed: PlacedUpstream) -> None:
        upstream_id = placed.entry.upstream_id
        other = self.upstreams.get(upstream_id)
        if other is not None and other.data_centre != placed.data_centre:
            self.ambiguous_names.add(upstream_id)
            placed = min(other, placed, key=lambda item: item.data_centre)
        self.upstreams[upstream_id] = placed

    def is_data_centre_in_service(self, name: str) -> bool:
        """Return whether operators let the data centre take new work."""
        document = self.data_centres.get(name)
        return document is None or document.state == "in"

    def is_usable(self, upstream_id: str) -> bool:
        """Return whether the documents allow new work to be sent to an upstream."""
        placed = self.upstreams.get(upstream_id)
        if placed is None or placed.entry.state == "leaving":
            return False
        return self.is_data_centre_in_service(placed.data_centre)
