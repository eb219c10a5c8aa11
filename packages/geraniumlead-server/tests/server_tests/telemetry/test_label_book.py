"""Test that labels stay bounded."""

from unittest import TestCase

from geraniumlead.configuration import DocumentStore
from geraniumlead_server.telemetry import LabelBook
from server_tests.builders import build_documents


class LabelBookTests(TestCase):
    def setUp(self):
        store = DocumentStore()
        store.apply(build_documents(), 7)
        self.view = store.view

    def test_labels_contracts_and_classes_in_force(self):
        labels = LabelBook().labels_of(self.view, "acme", "lookup")
        self.assertEqual(labels, {"contract": "acme", "class": "lookup"})

    def test_a_made_up_name_gets_no_label_of_its_own(self):
        book = LabelBook()
        other = {"contract": "other", "class": "other"}
        self.assertEqual(book.labels_of(self.view, "made-up", "lookup"), other)
        self.assertEqual(book.labels_of(self.view, "acme", "made-up"), other)

    def test_the_number_of_labels_is_bounded(self):
        book = LabelBook(most=1)
        book.labels_of(self.view, "acme", "lookup")
        self.assertEqual(book.labels_of(self.view, "acme", "booking")["class"], "other")
        self.assertEqual(book.labels_of(self.view, "acme", "lookup")["class"], "lookup")
