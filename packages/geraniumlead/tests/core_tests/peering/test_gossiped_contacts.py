"""Tests of the gossip about new instances."""

from unittest import TestCase

from geraniumlead.peering.gossiped_contacts import (
    CONTACTS_PER_MESSAGE,
    GOSSIP_ROUNDS,
    GossipedContacts,
)


class GossipedContactsTests(TestCase):
    def test_gossip_about_a_name_ends(self):
        """Guards against names that still take bytes long after all instances know them."""
        gossiped = GossipedContacts()
        gossiped.add("entry-1", fleet_size=62)
        sends = 0
        while gossiped.next_names():
            sends += 1
        self.assertEqual(GOSSIP_ROUNDS * 6, sends)

    def test_newest_names_come_first_and_few_at_once(self):
        gossiped = GossipedContacts()
        for number in range(CONTACTS_PER_MESSAGE + 2):
            gossiped.add(f"old-{number}", fleet_size=62)
        for _ in range(6):
            gossiped.next_names()
        gossiped.add("new", fleet_size=62)
        names = gossiped.next_names()
        self.assertEqual(CONTACTS_PER_MESSAGE, len(names))
        self.assertIn("new", names)

    def test_removed_name_is_not_sent_again(self):
        gossiped = GossipedContacts()
        gossiped.add("entry-1", fleet_size=10)
        gossiped.remove("entry-1")
        self.assertEqual([], gossiped.next_names())
