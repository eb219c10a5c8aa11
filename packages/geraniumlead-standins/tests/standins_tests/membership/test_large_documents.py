"""Test how many copies of a large document instances send."""

from collections import Counter
from unittest import TestCase

from msgspec.json import encode

from geraniumlead.actions import SendToPeer
from geraniumlead.documents import UpstreamEntry, UpstreamListDocument
from geraniumlead.peer_messages import DocumentsUpdate
from geraniumlead_standins.virtual.small_cluster import ClusterSize
from standins_tests.membership.builders import SETTLED_MS, RecordedCluster

SIZE = ClusterSize(instances=60, shards=1)
MAX_COPIES = 10


def build_large_list() -> bytes:
    """Return a list of 1,100 upstreams, about 150 KB."""
    entries = [
        UpstreamEntry(
            upstream_id=f"archive-{number}",
            service="archive",
            address=f"10.9.0.1:{1_000 + number}",
            slots=2,
            connections=100,
        )
        for number in range(1_100)
    ]
    return encode(UpstreamListDocument(data_centre="elsewhere", upstreams=entries))


class LargeDocumentTests(TestCase):
    def test_no_instance_sends_it_to_all_others(self):
        """A list of upstreams changes in a data centre of 60 instances.

        If the watchers sent the whole list to each peer, each would hold 230 copies in memory
        at the target size, tens of megabytes. Instead each instance forwards a few copies, and
        all have the list within 1.5 s.
        """
        recorded = RecordedCluster.from_size(SIZE)
        recorded.run_for(SETTLED_MS)
        value = build_large_list()
        copies: Counter[str] = Counter()

        def count(name, action, now_ms) -> None:
            if isinstance(action, SendToPeer) and isinstance(action.message, DocumentsUpdate):
                copies[name] += len(action.message.documents)

        recorded.run.on_action = count
        recorded.run.publish({"geraniumlead/upstreams/elsewhere": value})
        recorded.run_for(1_500.0)
        self.assertEqual({recorded.run.platform.revision}, recorded.revisions())
        self.assertLessEqual(max(copies.values()), MAX_COPIES)
        self.assertLessEqual(sum(copies.values()), 2 * SIZE.instances)
