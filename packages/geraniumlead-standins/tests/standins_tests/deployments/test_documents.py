"""Tests that the example deployments have the expected size and consistent documents."""

from unittest import TestCase

from msgspec.json import encode

from geraniumlead.configuration import DocumentStore
from geraniumlead.documents import VersionedValue
from geraniumlead_standins.deployments import DEPLOYMENTS, AddressPlan, build_documents

UPSTREAMS_PER_DATA_CENTRE = {"van-dijk": 115, "pinewick": 108}


class BuildDocumentsTests(TestCase):
    def test_every_document_is_accepted(self):
        for name, build in DEPLOYMENTS.items():
            with self.subTest(deployment=name):
                deployment = build()
                addresses = AddressPlan.from_base_port(deployment, 20_000)
                documents = [
                    VersionedValue(key, 1, encode(document))
                    for key, document in build_documents(deployment, addresses).items()
                ]
                store = DocumentStore()
                store.apply(documents, 1, is_snapshot=True)
                self.assertEqual(store.refused, ())
                self.assertEqual(len(store.view.data_centres), 3)
                self.assertEqual(len(store.view.upstreams), 3 * UPSTREAMS_PER_DATA_CENTRE[name])

    def test_addresses_are_unique(self):
        addresses = AddressPlan.from_base_port(DEPLOYMENTS["van-dijk"](), 20_000)
        assigned = [addresses.platform, *addresses.upstreams.values(), *addresses.controls.values()]
        assigned += [
            address
            for addresses_of_instance in addresses.instances.values()
            for address in addresses_of_instance
        ]
        self.assertEqual(len(set(assigned)), addresses.port_count)
        self.assertEqual(len(assigned), addresses.port_count)
