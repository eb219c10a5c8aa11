"""Test the assembly of the daemon."""

from unittest import TestCase

from geraniumlead_server.daemon import draw_incarnation


class IncarnationTests(TestCase):
    def test_no_two_lives_share_a_name(self):
        """A process restarts with the same seed in its settings.

        Drawn from the seed, the name of its life would repeat; a ticket of the life before
        would be taken for an unused one of this life, and its booking would run again.
        """
        self.assertEqual(100, len({draw_incarnation() for _ in range(100)}))
