from os import environ
from unittest import TestCase
from unittest.mock import patch

from client_tests.builders import run_command, serve
from geraniumlead_client.commands.load import CREDENTIAL_VARIABLE

ARGUMENTS = ("load", "--class", "lookup", "--rate-per-s", "50", "--duration-s", "0.1")


class LoadCommandTests(TestCase):
    def test_counts_outcomes(self):
        with (
            patch.dict(environ, {CREDENTIAL_VARIABLE: "secret"}),
            serve({"/v1/queries": {"outcome": "whole"}}) as address,
        ):
            code, output, _ = run_command(*ARGUMENTS, "--address", address)
        self.assertEqual(code, 0)
        self.assertRegex(output, r"whole +5")

    def test_fails_when_no_instance_answers(self):
        with patch.dict(environ, {CREDENTIAL_VARIABLE: "secret"}):
            code, output, _ = run_command(*ARGUMENTS, "--address", "127.0.0.1:1")
        self.assertEqual(code, 1)
        self.assertRegex(output, r"unanswered +5")

    def test_requires_a_credential_and_enforces_its_limits(self):
        with patch.dict(environ, {CREDENTIAL_VARIABLE: ""}):
            self.assertEqual(run_command(*ARGUMENTS, "--address", "127.0.0.1:1")[0], 2)
        with patch.dict(environ, {CREDENTIAL_VARIABLE: "secret"}):
            too_fast = ("--rate-per-s", "100000", "--address", "127.0.0.1:1")
            self.assertEqual(run_command(*ARGUMENTS, *too_fast)[0], 2)
