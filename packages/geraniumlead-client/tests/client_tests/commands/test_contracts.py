from unittest import TestCase

from msgspec import to_builtins

from client_tests.builders import run_command, serve
from geraniumlead.documents import ContractDocument, TrafficClass


class ContractsCommandTests(TestCase):
    def test_shows_the_newest_revision(self):
        contract = to_builtins(
            ContractDocument(
                customer="acme",
                credentials_sha256=["0" * 64],
                rate_per_s=5.0,
                burst_requests=6,
                concurrent_requests=7,
                classes=[TrafficClass(name="lookup", service="x", priority=0, deadline_ms=80)],
            )
        )
        newer = {"revision": 9, "documents": {"geraniumlead/contracts/acme": contract}}
        older = {"revision": 8, "documents": {}}
        with (
            serve({"/v1/documents": older}) as first,
            serve({"/v1/documents": newer}) as second,
        ):
            code, output, _ = run_command("contracts", "--address", first, "--address", second)
        self.assertEqual(code, 0)
        self.assertIn("revision 9", output)
        self.assertRegex(output, r"acme +lookup +x +0 +80 +100%")

    def test_no_instance_answers(self):
        self.assertEqual(run_command("contracts", "--address", "127.0.0.1:1")[0], 4)
