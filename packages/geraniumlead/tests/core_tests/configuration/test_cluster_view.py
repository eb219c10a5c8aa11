"""Test that a view depends on the documents and not on the order of their arrival."""

from itertools import permutations
from unittest import TestCase

from core_tests.builders import build_contract, build_upstream
from geraniumlead.configuration import ClusterView
from geraniumlead.documents import UpstreamListDocument


class ClusterViewTests(TestCase):
    def test_a_shared_credential_means_one_customer_everywhere(self):
        """Two operators publish contracts with the same credential at the same time.

        Instances receive them in different orders. Without a tie-break, instances would assign
        a caller to different customers, and its limits would depend on the instance.
        """
        contracts = [build_contract(customer=name) for name in ("beta", "acme", "zeta")]
        views = [ClusterView.from_documents(list(order)) for order in permutations(contracts)]
        found = {tuple(view.customer_of_credential.values()) for view in views}
        self.assertEqual(found, {("acme",)})
        self.assertEqual(views[0].ambiguous_names, {"acme", "beta", "zeta"})

    def test_an_upstream_in_two_lists_is_in_one_data_centre_everywhere(self):
        """An upstream is moved, and for a while both lists contain it.

        Its owners depend on its data centre, so instances that disagree about it would together
        exceed its connections and its cold allowance.
        """
        lists = [
            UpstreamListDocument(data_centre=name, upstreams=[build_upstream(1)])
            for name in ("zuid", "noord")
        ]
        views = [ClusterView.from_documents(list(order)) for order in permutations(lists)]
        found = {view.upstreams["ledger-1"].data_centre for view in views}
        self.assertEqual(found, {"noord"})
        self.assertEqual(views[0].ambiguous_names, {"ledger-1"})

    def test_valid_documents_have_no_ambiguous_names(self):
        self.assertEqual(ClusterView.from_documents([build_contract()]).ambiguous_names, set())
