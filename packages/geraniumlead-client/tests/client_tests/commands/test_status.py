from json import loads
from unittest import TestCase

from client_tests.builders import build_status, run_command, serve

UNREACHABLE_ADDRESS = "127.0.0.1:1"


class StatusCommandTests(TestCase):
    def run_status(self, status, *arguments):
        with serve({"/v1/status": status}) as address:
            return run_command("status", "--address", address, *arguments)

    def test_a_healthy_fleet(self):
        code, output, _ = self.run_status(build_status())
        self.assertEqual(code, 0, output)
        self.assertIn("noord-1", output)

    def test_an_instance_that_does_not_answer_is_shown_as_unreachable(self):
        code, output, _ = self.run_status(build_status(), "--address", UNREACHABLE_ADDRESS)
        self.assertEqual(code, 1)
        self.assertIn("unreachable", output)
        self.assertIn(f"! {UNREACHABLE_ADDRESS} does not answer", output)

    def test_no_instance_answers(self):
        code, _, _ = run_command("status", "--address", UNREACHABLE_ADDRESS)
        self.assertEqual(code, 4)

    def test_requires_an_address(self):
        self.assertEqual(run_command("status")[0], 2)

    def test_explains_why_an_upstream_is_not_fully_used(self):
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

    def test_counts_upstreams_that_are_only_warming(self):
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

    def test_reports_refused_documents_and_old_configuration(self):
        status = build_status(
            refused_documents={"geraniumlead/contracts/acme": "GL-C004"}, platform_age_ms=90_000.0
        )
        code, output, _ = self.run_status(status, "--json")
        self.assertEqual(code, 1)
        problems = loads(output)["problems"]
        self.assertIn("noord-1 refused geraniumlead/contracts/acme: GL-C004", problems)
        self.assertIn("noord-1 has not heard from the platform lately", problems)

    def test_reports_documents_that_contradict_each_other(self):
        code, output, _ = self.run_status(build_status(ambiguous_names=["acme", "beta"]))
        self.assertEqual(code, 1)
        self.assertIn("contradict each other: acme, beta", output)

    def test_reports_instances_that_disagree(self):
        with (
            serve({"/v1/status": build_status()}) as first,
            serve({"/v1/status": build_status(revision=9)}) as second,
        ):
            code, output, _ = run_command("status", "--address", first, "--address", second)
        self.assertEqual(code, 1)
        self.assertIn("revisions 7 to 9 are in force", output)
