"""Serve GET /v1/documents: the configuration in force on this instance."""

import falcon
from msgspec import to_builtins
from msgspec.json import encode

from geraniumlead.documents import (
    DocumentKind,
    InstanceListDocument,
    UpstreamListDocument,
    document_key,
)
from geraniumlead_server.driver import InstanceDriver


class DocumentsResource:
    """The falcon resource of the documents in force by key, without digests of credentials."""

    def __init__(self, driver: InstanceDriver) -> None:
        self._driver = driver

    async def on_get(self, request, response) -> None:
        """Return the documents of one kind, or all."""
        kind = request.get_param("kind")
        if kind is not None and kind not in {item.value for item in DocumentKind}:
            raise falcon.HTTPBadRequest(title="there is no such kind of document")
        store = self._driver.instance.parts.store
        documents = {
            key: document
            for key, document in collect_documents(store.view).items()
            if kind is None or key.split("/")[1] == kind
        }
        response.content_type = falcon.MEDIA_JSON
        response.data = encode({"revision": store.revision, "documents": documents})


def collect_documents(view) -> dict[str, object]:
    """Return every document in force by its key."""
    documents: dict[str, object] = {}
    for name, contract in view.contracts.items():
        shown = to_builtins(contract)
        del shown["credentials_sha256"]
        documents[document_key(DocumentKind.CONTRACT, name)] = shown
    for name, data_centre in view.data_centres.items():
        documents[document_key(DocumentKind.DATA_CENTRE, name)] = data_centre
    for name, instances in view.instances.items():
        found = InstanceListDocument(data_centre=name, instances=list(instances))
        documents[document_key(DocumentKind.INSTANCE_LIST, name)] = found
    for name in {placed.data_centre for placed in view.upstreams.values()}:
        entries = [item.entry for item in view.upstreams.values() if item.data_centre == name]
        found = UpstreamListDocument(data_centre=name, upstreams=entries)
        documents[document_key(DocumentKind.UPSTREAM_LIST, name)] = found
    for service, versions in view.indexes.items():
        for index in versions:
            key = document_key(DocumentKind.INDEX, service, str(index.version))
            documents[key] = index
    return documents
