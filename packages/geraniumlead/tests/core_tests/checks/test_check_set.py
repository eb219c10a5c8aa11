"""Test the checks of several documents together."""

from unittest import TestCase

from core_tests.builders import build_contract, build_index, build_traffic_class, build_upstream
from geraniumlead.checks import NamedDocument, check_set
from geraniumlead.documents import DataCentreDocument, UpstreamListDocument


def find_ids(*documents) -> list[str]:
    """Return the distinct ids of the findings in a set."""
    named = [NamedDocument(str(place), document) for place, document in enumerate(documents)]
    return sorted({message.id for _, message in check_set(named)})


def build_list(data_centre: str, *numbers: int, **changes) -> UpstreamListDocument:
    """Return the upstream list of a data centre, with numbered upstreams."""
    upstreams = [build_upstream(number, **changes) for number in numbers]
    return UpstreamListDocument(data_centre=data_centre, upstreams=upstreams)


class CheckSetTests(TestCase):
    def test_accepts_a_valid_set(self):
        found = find_ids(
            build_contract(),
            build_index(shard_count=2, replica_count=1),
            build_list("noord", 0, 1),
            DataCentreDocument(name="noord", region="noord"),
        )
        self.assertEqual(found, [])

    def test_finds_two_contracts_for_one_customer(self):
        self.assertEqual(find_ids(build_contract(), build_contract()), ["GL-X001"])

    def test_finds_a_credential_of_two_customers(self):
        self.assertEqual(find_ids(build_contract(), build_contract(customer="b")), ["GL-X002"])

    def test_finds_an_upstream_in_two_data_centres(self):
        self.assertEqual(find_ids(build_list("noord", 0), build_list("zuid", 0)), ["GL-X003"])

    def test_finds_replicas_that_are_in_no_list(self):
        index = build_index(shard_count=2, replica_count=1)
        self.assertEqual(find_ids(index, build_list("noord", 0)), ["GL-X005"])

    def test_finds_replicas_of_another_service(self):
        index = build_index(shard_count=1, replica_count=1)
        self.assertEqual(find_ids(index, build_list("noord", 0, service="other")), ["GL-X006"])

    def test_finds_a_class_without_an_index(self):
        contract = build_contract(classes=[build_traffic_class(service="other")])
        index = build_index(shard_count=1, replica_count=1)
        self.assertEqual(find_ids(contract, index, build_list("noord", 0)), ["GL-X007"])

    def test_finds_a_list_of_an_unknown_data_centre(self):
        known = DataCentreDocument(name="noord", region="noord")
        self.assertEqual(find_ids(known, build_list("zuid", 0)), ["GL-X008"])
