"""Test which documents a store accepts, and which revision it reports."""

from itertools import permutations
from unittest import TestCase

from msgspec.json import encode

from core_tests.builders import build_contract
from geraniumlead.configuration import DocumentStore
from geraniumlead.documents import VersionedValue

KEYS = ("geraniumlead/contracts/acme", "geraniumlead/contracts/brook")


def build_value(key: str, revision: int, rate_per_s: float = 1.0) -> VersionedValue:
    """Return an encoded contract at a revision."""
    customer = key.rsplit("/", 1)[1]
    contract = build_contract(customer=customer, rate_per_s=rate_per_s)
    return VersionedValue(key, revision, encode(contract))


class DocumentStoreTests(TestCase):
    def test_an_update_with_a_gap_does_not_raise_the_revision(self):
        """A peer's update of revision 9 is lost and the one of revision 10 arrives.

        A store that reported 10 would never request 9, because no peer's revision is higher.
        """
        store = DocumentStore()
        store.apply([build_value(KEYS[0], 8)], 8, is_snapshot=True)
        store.apply([build_value(KEYS[1], 10)], 10, above_revision=9)
        self.assertEqual(8, store.revision)
        self.assertIn("brook", store.view.contracts)
        store.apply([build_value(KEYS[0], 9, 5.0), build_value(KEYS[1], 10)], 10, above_revision=8)
        self.assertEqual(10, store.revision)
        self.assertEqual(5.0, store.view.contracts["acme"].rate_per_s)

    def test_a_stale_snapshot_changes_nothing(self):
        store = DocumentStore()
        store.apply([build_value(KEYS[0], 3), build_value(KEYS[1], 7)], 7, is_snapshot=True)
        change = store.apply([build_value(KEYS[0], 2)], 2, is_snapshot=True)
        self.assertEqual(((), 7), (change.stored, store.revision))
        self.assertEqual({"acme", "brook"}, set(store.view.contracts))

    def test_a_key_that_a_newer_snapshot_lacks_was_deleted(self):
        store = DocumentStore()
        store.apply([build_value(KEYS[0], 3), build_value(KEYS[1], 7)], 7, is_snapshot=True)
        store.apply([build_value(KEYS[0], 3)], 8, is_snapshot=True)
        self.assertEqual({"acme"}, set(store.view.contracts))
        store.apply([build_value(KEYS[1], 7)], 7)
        self.assertEqual({"acme"}, set(store.view.contracts))

    def test_a_platform_that_lost_changes_deletes_nothing(self):
        """A backup of revision 5 was restored and has reached revision 9 with other changes.

        Its snapshot shows an old revision of one key and lacks another. No operator made these
        changes, so the accepted documents stay in force.
        """
        store = DocumentStore()
        store.apply([build_value(KEYS[0], 7, 7.0), build_value(KEYS[1], 8)], 8, is_snapshot=True)
        change = store.apply([build_value(KEYS[0], 3, 3.0)], 9, is_snapshot=True)
        self.assertTrue(change.is_forked)
        self.assertEqual({"acme", "brook"}, set(store.view.contracts))
        self.assertEqual(7.0, store.view.contracts["acme"].rate_per_s)

    def test_a_reused_revision_has_the_same_result_in_any_order(self):
        values = [build_value(KEYS[0], 4, rate) for rate in (1.0, 2.0, 3.0)]
        kept, digests = set(), set()
        for order in permutations(values):
            store = DocumentStore()
            changes = [store.apply([value], 4) for value in order]
            self.assertTrue(any(change.conflicts for change in changes))
            kept.add(store.view.contracts["acme"].rate_per_s)
            digests.add(store.digest)
        self.assertEqual((1, 1), (len(kept), len(digests)))

    def test_the_digest_depends_on_contents_but_not_on_order_or_deletions(self):
        one, other = DocumentStore(), DocumentStore()
        one.apply([build_value(KEYS[0], 3), build_value(KEYS[1], 4)], 4)
        other.apply([build_value(KEYS[1], 4)], 4)
        self.assertNotEqual(one.digest, other.digest)
        other.apply(
            [build_value(KEYS[0], 3), VersionedValue("geraniumlead/contracts/c", 2, None)], 4
        )
        self.assertEqual(one.digest, other.digest)

    def test_a_new_instance_gets_the_last_good_value_from_a_peer(self):
        """A malformed contract is published, and an instance is replaced afterwards.

        The platform sends the new instance only the malformed value. Without the peer's copy of
        the previous value, it alone would refuse the customer's requests.
        """
        bad = VersionedValue(KEYS[0], 5, b"{")
        peer, new_instance = DocumentStore(), DocumentStore()
        peer.apply([build_value(KEYS[0], 4, 4.0)], 4, is_snapshot=True)
        peer.apply([bad], 5)
        new_instance.apply([bad], 5, is_snapshot=True)
        self.assertTrue(new_instance.lacks_last_good)
        new_instance.apply(peer.documents_above(5), 5, above_revision=5)
        self.assertEqual(4.0, new_instance.view.contracts["acme"].rate_per_s)
        self.assertEqual(1, len(new_instance.refused))
        self.assertEqual(peer.digest, new_instance.digest)
