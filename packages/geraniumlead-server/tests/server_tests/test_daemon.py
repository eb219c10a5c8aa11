"""Test the assembly of the daemon."""

from unittest import TestCase

from geraniumlead_server.daemon import generate_incarnation


class IncarnationTests(TestCase):
    def test_incarnations_are_unique(self):
        """A process restarts with the same seed in its settings.

        If the incarnation depended on the seed, it would repeat: a ticket of the previous
        incarnation would count as an unused one, and its booking would run again.
        """
        self.assertEqual(100, len({generate_incarnation() for _ in range(100)}))
