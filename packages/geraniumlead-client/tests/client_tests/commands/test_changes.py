"""Tests of the commands that prepare a document: data-centre and instance."""

from json import loads
from unittest import TestCase

from client_tests.builders import build_documents, build_status, run_command, serve
from geraniumlead_client.remaining_capacity import compute_remaining_capacity


class ChangeCommandTests(TestCase):
    def run_change(self, *arguments, documents=None, status=None):
        answers = {
            "/v1/documents": {"revision": 7, "documents": documents or build_documents()},
            "/v1/status": status or build_status(),
        }
        with serve(answers) as address:
            return run_command(*arguments, "--json", "--address", address)

    def test_prepares_to_take_a_data_centre_out(self):
        code, output, _ = self.run_change("data-centre", "out", "zuid")
        change = loads(output)
        self.assertEqual(code, 0, output)
        self.assertEqual(change["key"], "geraniumlead/data-centres/zuid")
        self.assertEqual(change["document"]["state"], "out")
        self.assertEqual(change["services"]["ledger"]["slots"], 4)

    def test_warns_when_the_remaining_slots_cannot_carry_the_load(self):
        """The change is reported as a problem with exit code 1, before it causes queueing.

        Each data centre has four slots and six calls are in flight, so without one of them
        callers would wait for a slot.
        """
        status = build_status(services={"ledger": {"in_flight": 6, "waiting": 0}})
        code, output, _ = self.run_change("data-centre", "out", "zuid", status=status)
        self.assertEqual(code, 1)
        self.assertIn("6.0 of 4 slots", loads(output)["problems"][0])

    def test_warns_when_shards_would_be_lost(self):
        documents = build_documents()
        documents["geraniumlead/data-centres/noord"]["state"] = "out"
        code, output, _ = self.run_change("data-centre", "out", "zuid", documents=documents)
        self.assertEqual(code, 1)
        self.assertIn("2 shards would have no replica", output)
        self.assertIn("no data centre would be in", output)

    def test_brings_a_data_centre_back(self):
        documents = build_documents()
        documents["geraniumlead/data-centres/zuid"]["state"] = "out"
        code, output, _ = self.run_change("data-centre", "back", "zuid", documents=documents)
        self.assertEqual((code, loads(output)["document"]["state"]), (0, "in"))

    def test_prepares_to_take_an_instance_out(self):
        code, output, _ = self.run_change("instance", "out", "zuid-entry-1")
        states = [item.get("state") for item in loads(output)["document"]["instances"]]
        self.assertEqual((code, states), (0, [None, "leaving"]))

    def test_unknown_names(self):
        self.assertEqual(self.run_change("data-centre", "out", "oost")[0], 3)
        self.assertEqual(self.run_change("instance", "out", "oost-1")[0], 3)


class ComputeRemainingCapacityTests(TestCase):
    def test_reports_a_data_centre_without_a_live_instance(self):
        documents = build_documents()
        for entry in documents["geraniumlead/instances/zuid"]["instances"]:
            entry["state"] = "leaving"
        self.assertEqual(
            compute_remaining_capacity(documents, {}).problems, ["zuid would have no live instance"]
        )
