"""Decode the platform's values into documents."""

from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

from geraniumlead.documents.contract import ContractDocument
from geraniumlead.documents.data_centre import DataCentreDocument
from geraniumlead.documents.index import IndexDocument
from geraniumlead.documents.instance_list import InstanceListDocument
from geraniumlead.documents.kinds import DocumentKind, document_key, kind_of_key
from geraniumlead.documents.refused_document import RefusedDocument
from geraniumlead.documents.upstream_list import UpstreamListDocument
from geraniumlead.documents.versioned import VersionedValue

Document = (
    ContractDocument
    | DataCentreDocument
    | UpstreamListDocument
    | IndexDocument
    | InstanceListDocument
)

_DECODERS = {
    DocumentKind.CONTRACT: Decoder(ContractDocument),
    DocumentKind.DATA_CENTRE: Decoder(DataCentreDocument),
    DocumentKind.UPSTREAM_LIST: Decoder(UpstreamListDocument),
    DocumentKind.INDEX: Decoder(IndexDocument),
    DocumentKind.INSTANCE_LIST: Decoder(InstanceListDocument),
}


def decode_document(versioned: VersionedValue) -> Document | RefusedDocument:
    """Decode a value by the kind in its key; a pure function, so all instances agree.

    ``versioned.value`` must not be None. A value that is malformed, or that names another
    customer, data centre or index than its key, is a RefusedDocument.
    """
    kind = kind_of_key(versioned.key)
    if kind is None or versioned.value is None:
        return RefusedDocument(versioned.key, versioned.revision, "the key names no document")
    try:
        document = _DECODERS[kind].decode(versioned.value)
    except (DecodeError, ValidationError) as error:
        return RefusedDocument(versioned.key, versioned.revision, str(error))
    if key_of_document(document) != versioned.key:
        return RefusedDocument(
            versioned.key, versioned.revision, "the document's name differs from its key"
        )
    return document


def key_of_document(document: Document) -> str:
    """Return the only key under which a document may be published."""
    match document:
        case ContractDocument(customer=customer):
            return document_key(DocumentKind.CONTRACT, customer)
        case DataCentreDocument(name=name):
            return document_key(DocumentKind.DATA_CENTRE, name)
        case UpstreamListDocument(data_centre=name):
            return document_key(DocumentKind.UPSTREAM_LIST, name)
        case IndexDocument(service=service, version=version):
            return document_key(DocumentKind.INDEX, service, str(version))
        case InstanceListDocument(data_centre=name):
            return document_key(DocumentKind.INSTANCE_LIST, name)
