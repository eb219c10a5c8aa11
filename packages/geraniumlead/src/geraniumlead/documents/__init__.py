"""Define and decode the documents that operators publish on the platform."""

from geraniumlead.documents.contract import ContractDocument
from geraniumlead.documents.data_centre import DataCentreDocument
from geraniumlead.documents.decoding import decode_document
from geraniumlead.documents.index import IndexDocument
from geraniumlead.documents.instance_entry import InstanceEntry
from geraniumlead.documents.instance_list import InstanceListDocument
from geraniumlead.documents.kinds import KEY_PREFIX, DocumentKind, document_key, kind_of_key
from geraniumlead.documents.refused_document import RefusedDocument
from geraniumlead.documents.shard import ShardEntry
from geraniumlead.documents.traffic_class import TrafficClass
from geraniumlead.documents.upstream_entry import UpstreamEntry
from geraniumlead.documents.upstream_list import UpstreamListDocument
from geraniumlead.documents.versioned import VersionedValue

__all__ = [
    "KEY_PREFIX",
    "ContractDocument",
    "DataCentreDocument",
    "DocumentKind",
    "IndexDocument",
    "InstanceEntry",
    "InstanceListDocument",
    "RefusedDocument",
    "ShardEntry",
    "TrafficClass",
    "UpstreamEntry",
    "UpstreamListDocument",
    "VersionedValue",
    "decode_document",
    "document_key",
    "kind_of_key",
]
