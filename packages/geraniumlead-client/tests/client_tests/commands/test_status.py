"""Test the command status."""

from json import loads
from unittest import TestCase

from client_tests.builders import build_status, run_command, serve

NOBODY = "127.0.0.1:1"


class StatusCommandTests(TestCase):
    def run_status(self, status, *arguments):
        with serve({"/v1/status": status}) as address:
            return run_command("status", "--address", address, *arguments)

    def test_a_fleet_that_is_well(self):
        code, output, _ = self.run_status(build_status())
        self.assertEqual(code, 0, output)
        self.assertIn("noord-1", output)

    def test_an_instance_that_does_not_answer_is_shown_as_such(self):
        code, output, _ = self.run_status(build_status(), "--address", NOBODY)
        self.assertEqual(code, 1)
        self.assertIn("unreachable", output)
        self.assertIn(f"! {NOBODY} does not answer", output)

    def test_nobody_answers(self):
        code, _, _ = run_command("status", "--address", NOBODY)
        self.assertEqual(code, 4)

    def test_needs_an_address(self):
        self.assertEqual(run_command("status")[0], 2)

    def test_says_why_an_upstream_is_not_in_full_use(self):
        found = {
            "service": "ledger",
            "data_centre": "noord",
            "in_flight": 1,
            "waiting": 0,
            "conditions": ["cold", "suspected"],
        }
        _, output, _ = self.run_status(build_status(upstreams={"ledger-1": found}))
        self.assertIn("cold: showed a sign of cold start", output)
        self.assertIn("suspected: answers late", output)

    def test_counts_upstreams_that_only_warm_up(self):
        found = {
            "service": "ledger",
            "data_centre": "noord",
            "in_flight": 0,
            "waiting": 0,
            "conditions": ["warming"],
        }
        status = build_status(upstreams={"ledger-1": found, "ledger-2": found})
        _, output, _ = self.run_status(status)
        self.assertNotIn("ledger-1", output)
        self.assertRegex(output, r"ledger +warming +2")
        self.assertIn("ledger-1", self.run_status(status, "--all")[1])

    def test_names_refused_documents_and_old_configuration(self):
        status = build_status(
            refused_documents={"geraniumlead/contracts/acme": "GL-C004"}, platform_age_ms=90_000.0
        )
        code, output, _ = self.run_status(status, "--json")
        self.assertEqual(code, 1)
        problems = loads(output)["problems"]
        self.assertIn("noord-1 refused geraniumlead/contracts/acme: GL-C004", problems)
        self.assertIn("noord-1 has not heard from the platform lately", problems)

    def test_documents_that_contradict_each_other_are_named(self):
        code, output, _ = self.run_status(build_status(ambiguous_names=["acme", "beta"]))
        self.assertEqual(code, 1)
        self.assertIn("contradict each other: acme, beta", output)

    def test_instances_that_disagree_are_named(self):
        with (
            serve({"/v1/status": build_status()}) as first,
            serve({"/v1/status": build_status(revision=9)}) as second,
        ):
            code, output, _ = run_command("status", "--address", first, "--address", second)
        self.assertEqual(code, 1)
        self.assertIn("revisions 7 to 9 are in force", output)
