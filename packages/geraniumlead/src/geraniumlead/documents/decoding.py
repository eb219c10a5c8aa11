from msgspec import DecodeError, ValidationError
from msgspec.json import Decoder

from geraniumlead.checks.check_document import find_refusal
from geraniumlead.documents.contract import ContractDocument
from geraniumlead.documents.data_centre import DataCentreDocument
from geraniumlead.documents.document_keys import Document, key_of_document
from geraniumlead.documents.index import IndexDocument
from geraniumlead.documents.instance_list import InstanceListDocument
from geraniumlead.documents.kinds import DocumentKind, kind_of_key
from geraniumlead.documents.refused_document import RefusedDocument
from geraniumlead.documents.upstream_list import UpstreamListDocument
from geraniumlead.documents.versioned import VersionedValue

_DECODERS = {
    DocumentKind.CONTRACT: Decoder(ContractDocument),
    DocumentKind.DATA_CENTRE: Decoder(DataCentreDocument),
    DocumentKind.UPSTREAM_LIST: Decoder(UpstreamListDocument),
    DocumentKind.INDEX: Decoder(IndexDocument),
    DocumentKind.INSTANCE_LIST: Decoder(InstanceListDocument),
}


def decode_document(versioned: VersionedValue) -> Document | RefusedDocument:
    """Decode a value by the kind in its key.

    The result depends on the key and the value alone, so all instances agree. Return a
    RefusedDocument if the key names no document, or if the value is None, is malformed, names
    another customer, data centre or index than its key, or fails a check of single documents.
    """
    kind = kind_of_key(versioned.key)
    if kind is None or versioned.value is None:
        return RefusedDocument(versioned.key, versioned.revision, "the key names no document")
    try:
        document = _DECODERS[kind].decode(versioned.value)
    except (DecodeError, ValidationError, RecursionError) as error:
        return RefusedDocument(versioned.key, versioned.revision, str(error))
    if key_of_document(document) != versioned.key:
        return RefusedDocument(
            versioned.key, versioned.revision, "the document's name differs from its key"
        )
    refusal = find_refusal(document)
    if refusal is not None:
        return RefusedDocument(versioned.key, versioned.revision, refusal)
    return document
