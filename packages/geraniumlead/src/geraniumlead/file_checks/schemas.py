"""Build the JSON schemas of the documents and settings that operators write."""

from msgspec.json import schema

from geraniumlead.documents.contract import ContractDocument
from geraniumlead.documents.data_centre import DataCentreDocument
from geraniumlead.documents.index import IndexDocument
from geraniumlead.documents.instance_list import InstanceListDocument
from geraniumlead.documents.kinds import DocumentKind
from geraniumlead.documents.upstream_list import UpstreamListDocument
from geraniumlead.settings.instance_settings import InstanceSettings

SETTINGS = "settings"

TYPES = {
    DocumentKind.CONTRACT.value: ContractDocument,
    DocumentKind.DATA_CENTRE.value: DataCentreDocument,
    DocumentKind.UPSTREAM_LIST.value: UpstreamListDocument,
    DocumentKind.INDEX.value: IndexDocument,
    DocumentKind.INSTANCE_LIST.value: InstanceListDocument,
    SETTINGS: InstanceSettings,
}
SCHEMA_NAMES = tuple(TYPES)


def build_schema(name: str) -> dict:
    """Return the JSON schema (2020-12) of a kind of document or of the settings."""
    json_schema = schema(TYPES[name])
    return {"$schema": "https://json-schema.org/draft/2020-12/schema"} | json_schema
