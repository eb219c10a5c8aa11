"""Test the commands that prepare a document: data-centre and instance."""

from json import loads
from unittest import TestCase

from client_tests.builders import build_documents, build_status, run_command, serve
from geraniumlead_client.capacity_left import judge_capacity


class ChangeCommandTests(TestCase):
    def run_change(self, *arguments, documents=None, status=None):
        answers = {
            "/v1/documents": {"revision": 7, "documents": documents or build_documents()},
            "/v1/status": status or build_status(),
        }
        with serve(answers) as address:
            return run_command(*arguments, "--json", "--address", address)

    def test_prepares_taking_a_data_centre_out(self):
        code, output, _ = self.run_change("data-centre", "out", "zuid")
        change = loads(output)
        self.assertEqual(code, 0, output)
        self.assertEqual(change["key"], "geraniumlead/data-centres/zuid")
        self.assertEqual(change["document"]["state"], "out")
        self.assertEqual(change["services"]["ledger"]["slots"], 4)

    def test_warns_when_the_rest_cannot_carry_the_load(self):
        """An operator wants to take a data centre out at the busiest hour.

        Both data centres have four slots, and six calls are in flight: after the move every
        caller would wait for a slot. The command says so and exits 1.
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

    def test_prepares_taking_an_instance_out(self):
        code, output, _ = self.run_change("instance", "out", "zuid-entry-1")
        states = [item.get("state") for item in loads(output)["document"]["instances"]]
        self.assertEqual((code, states), (0, [None, "leaving"]))

    def test_unknown_names(self):
        self.assertEqual(self.run_change("data-centre", "out", "oost")[0], 3)
        self.assertEqual(self.run_change("instance", "out", "oost-1")[0], 3)


class JudgeCapacityTests(TestCase):
    def test_a_data_centre_without_a_live_instance_is_named(self):
        documents = build_documents()
        for entry in documents["geraniumlead/instances/zuid"]["instances"]:
            entry["state"] = "leaving"
        self.assertEqual(
            judge_capacity(documents, {}).problems, ["zuid would have no live instance"]
        )
