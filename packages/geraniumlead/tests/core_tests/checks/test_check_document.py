"""Test the checks of single documents, and that an instance refuses documents with errors."""

from unittest import TestCase

from msgspec.json import encode

from core_tests.builders import (
    build_contract,
    build_index,
    build_instance,
    build_traffic_class,
    build_upstream,
)
from geraniumlead.checks import Level, check_document
from geraniumlead.configuration import DocumentStore
from geraniumlead.documents import (
    InstanceListDocument,
    ShardEntry,
    UpstreamListDocument,
    VersionedValue,
)
from geraniumlead.documents.index import IndexDocument


def find_ids(document) -> list[str]:
    """Return the ids of the findings in a document."""
    return [message.id for message in check_document(document)]


class ContractCheckTests(TestCase):
    def test_accepts_a_valid_contract(self):
        self.assertEqual(find_ids(build_contract(valid_until="2027-01-31T00:00:00Z")), [])

    def test_finds_each_error(self):
        digest = "0" * 64
        lookup = build_traffic_class()
        cases = {
            "GL-C001": {"classes": [lookup, lookup]},
            "GL-C002": {"credentials_sha256": [digest, digest]},
            "GL-C003": {"valid_until": "31.1.2027"},
            "GL-C004": {
                "valid_from": "2027-02-01T00:00:00Z",
                "valid_until": "2027-01-01T00:00:00Z",
            },
            "GL-C005": {"classes": [build_traffic_class(idempotent=False, least_coverage=0.5)]},
            "GL-C006": {"classes": [build_traffic_class(waits_for_all=False)]},
            "GL-C007": {"rate_per_s": 1.0, "burst_requests": 1, "concurrent_requests": 50},
        }
        for check_id, changes in cases.items():
            with self.subTest(check_id=check_id):
                self.assertEqual(find_ids(build_contract(**changes)), [check_id])

    def test_refuses_a_date_without_an_offset(self):
        self.assertEqual(find_ids(build_contract(valid_from="2027-01-31T00:00:00")), ["GL-C003"])


class IndexCheckTests(TestCase):
    def test_accepts_a_valid_index(self):
        self.assertEqual(find_ids(build_index()), [])

    def test_finds_gaps_and_duplicates(self):
        def index_of(*numbers, replicas=("a",)):
            shards = [ShardEntry(shard=number, replicas=list(replicas)) for number in numbers]
            return IndexDocument(service="ledger", version=1, shards=shards)

        self.assertEqual(find_ids(index_of(0, 2)), ["GL-I002"])
        self.assertEqual(find_ids(index_of(0, 0)), ["GL-I001", "GL-I002"])
        self.assertEqual(find_ids(index_of(0, replicas=("a", "a"))), ["GL-I003"])


class ListCheckTests(TestCase):
    def test_finds_duplicate_upstreams_and_addresses(self):
        twice = [build_upstream(1), build_upstream(1)]
        document = UpstreamListDocument(data_centre="noord", upstreams=twice)
        self.assertEqual(find_ids(document), ["GL-U001", "GL-U002"])

    def test_finds_a_port_that_does_not_exist(self):
        upstream = build_upstream(address="127.0.0.1:70000")
        document = UpstreamListDocument(data_centre="noord", upstreams=[upstream])
        self.assertEqual(find_ids(document), ["GL-U003"])

    def test_finds_addresses_to_which_nothing_can_be_sent(self):
        """Guards against an upstream whose calls all fail before they are written."""
        for address, check_id in (("127.0.0.999:80", "GL-U006"), ("127.0.0.1:80\n", "GL-U003")):
            with self.subTest(address=address):
                upstream = build_upstream(address=address)
                document = UpstreamListDocument(data_centre="noord", upstreams=[upstream])
                self.assertEqual(find_ids(document), [check_id])

    def test_finds_contradictory_limits(self):
        upstream = build_upstream(slots=4, connections=2, cold_allowance=5)
        document = UpstreamListDocument(data_centre="noord", upstreams=[upstream])
        self.assertEqual(find_ids(document), ["GL-U004", "GL-U005"])

    def test_finds_duplicate_instances(self):
        twice = [build_instance(1), build_instance(1)]
        document = InstanceListDocument(data_centre="noord", instances=twice)
        self.assertEqual(find_ids(document), ["GL-N001", "GL-N002"])


class RefusedDocumentTests(TestCase):
    def test_the_last_good_contract_stays_in_force(self):
        """An operator publishes a contract whose dates are swapped.

        Every instance refuses the whole document and gives the reason. The customer's callers
        are served by the last good contract until the next valid one.
        """
        key = "geraniumlead/contracts/acme"
        store = DocumentStore()
        good = build_contract(rate_per_s=5.0, concurrent_requests=1)
        swapped = build_contract(
            valid_from="2027-02-01T00:00:00Z", valid_until="2027-01-01T00:00:00Z"
        )
        store.apply([VersionedValue(key, 1, encode(good))], 1)
        store.apply([VersionedValue(key, 2, encode(swapped))], 2)
        self.assertEqual(store.view.contracts["acme"], good)
        self.assertIn("GL-C004 $.valid_until", store.refused[0].reason)
        store.apply([VersionedValue(key, 3, encode(build_contract()))], 3)
        self.assertEqual(store.refused, ())

    def test_a_warning_refuses_nothing(self):
        contract = build_contract(classes=[build_traffic_class(waits_for_all=False)])
        self.assertEqual(check_document(contract)[0].level, Level.WARNING)
        store = DocumentStore()
        store.apply([VersionedValue("geraniumlead/contracts/acme", 1, encode(contract))], 1)
        self.assertEqual(store.refused, ())

    def test_refuses_a_deeply_nested_value(self):
        value = b'{"name":"noord","region":' + b"[" * 100_000 + b"]" * 100_000 + b"}"
        store = DocumentStore()
        store.apply([VersionedValue("geraniumlead/data-centres/noord", 1, value)], 1)
        self.assertEqual(len(store.refused), 1)
