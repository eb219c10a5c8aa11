"""Test the limit on nesting."""

from unittest import TestCase

from geraniumlead_server.callers.json_depth import is_deeper_than


class IsDeeperThanTests(TestCase):
    def test_counts_nesting_and_not_brackets(self):
        self.assertFalse(is_deeper_than(b"[" + b"[]," * 50 + b"[]]", 3))
        self.assertTrue(is_deeper_than(b"[[[[]]]]", 3))
        self.assertFalse(is_deeper_than(b"[[[]]]", 3))

    def test_ignores_brackets_in_strings(self):
        self.assertFalse(is_deeper_than(b'["[[[[", "\\"[[["]', 2))

    def test_handles_malformed_text(self):
        self.assertTrue(is_deeper_than(b'"' + b"[" * 50, 3))
        self.assertFalse(is_deeper_than(b"]" * 50 + b"[" * 4, 4))
