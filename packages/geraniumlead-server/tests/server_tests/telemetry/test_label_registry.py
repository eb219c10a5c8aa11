"""Test that the number of labels is bounded."""

from unittest import TestCase

from geraniumlead.configuration import DocumentStore
from geraniumlead_server.telemetry import LabelRegistry
from server_tests.builders import build_documents


class LabelRegistryTests(TestCase):
    def setUp(self):
        store = DocumentStore()
        store.apply(build_documents(), 7)
        self.view = store.view

    def test_labels_contracts_and_classes_in_force(self):
        labels = LabelRegistry().labels_of(self.view, "acme", "lookup")
        self.assertEqual(labels, {"contract": "acme", "class": "lookup"})

    def test_an_unknown_name_gets_the_label_other(self):
        registry = LabelRegistry()
        other = {"contract": "other", "class": "other"}
        self.assertEqual(registry.labels_of(self.view, "made-up", "lookup"), other)
        self.assertEqual(registry.labels_of(self.view, "acme", "made-up"), other)

    def test_the_number_of_labels_is_bounded(self):
        registry = LabelRegistry(max_labels=1)
        registry.labels_of(self.view, "acme", "lookup")
        self.assertEqual(registry.labels_of(self.view, "acme", "booking")["class"], "other")
        self.assertEqual(registry.labels_of(self.view, "acme", "lookup")["class"], "lookup")
