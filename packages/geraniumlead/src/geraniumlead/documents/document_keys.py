from geraniumlead.documents.contract import ContractDocument
from geraniumlead.documents.data_centre import DataCentreDocument
from geraniumlead.documents.index import IndexDocument
from geraniumlead.documents.instance_list import InstanceListDocument
from geraniumlead.documents.kinds import DocumentKind, document_key
from geraniumlead.documents.upstream_list import UpstreamListDocument

Document = (
    ContractDocument
    | DataCentreDocument
    | UpstreamListDocument
    | IndexDocument
    | InstanceListDocument
)


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
