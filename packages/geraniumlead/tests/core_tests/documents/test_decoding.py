"""Test that a document is either accepted or refused as a whole."""

from unittest import TestCase

from msgspec.json import encode

from core_tests.builders import build_contract, build_documents
from geraniumlead.documents import RefusedDocument, VersionedValue, decode_document


class DecodeDocumentTests(TestCase):
    def test_decodes_every_kind(self):
        for versioned in build_documents():
            with self.subTest(key=versioned.key):
                self.assertNotIsInstance(decode_document(versioned), RefusedDocument)

    def test_refuses_a_document_whose_name_differs_from_its_key(self):
        versioned = VersionedValue("geraniumlead/contracts/other", 3, encode(build_contract()))
        self.assertIn("differs from its key", decode_document(versioned).reason)

    def test_refuses_unknown_fields(self):
        versioned = VersionedValue("geraniumlead/data-centres/noord", 3, b'{"nme": "noord"}')
        self.assertIsInstance(decode_document(versioned), RefusedDocument)
