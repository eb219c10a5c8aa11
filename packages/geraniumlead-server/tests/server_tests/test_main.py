"""Test how the daemon checks its settings."""

from contextlib import redirect_stderr
from io import StringIO
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from msgspec.json import encode

from geraniumlead.settings import ListenSettings
from geraniumlead_server.main import EXIT_BAD_SETTINGS, main
from server_tests.builders import build_settings


class MainTests(TestCase):
    def run_check(self, text: bytes) -> tuple[int, str]:
        errors = StringIO()
        with TemporaryDirectory() as folder, redirect_stderr(errors):
            path = Path(folder) / "settings.json"
            path.write_bytes(text)
            code = main(["--check", "--settings", str(path)])
        return code, errors.getvalue()

    def test_accepts_good_settings(self):
        self.assertEqual(self.run_check(encode(build_settings())), (0, ""))

    def test_names_every_error(self):
        code, errors = self.run_check(b'{"instance_id": "A", "listen": {}, "colour": 1}')
        self.assertEqual(code, EXIT_BAD_SETTINGS)
        for check_id in ("GL-S001", "GL-S003", "GL-S006"):
            self.assertIn(check_id, errors)

    def test_finds_errors_that_the_schema_cannot_express(self):
        listen = ListenSettings(callers="127.0.0.1:1", operators="127.0.0.1:1", peers="127.0.0.1:0")
        code, errors = self.run_check(encode(build_settings(listen=listen, log_level="loud")))
        self.assertEqual(code, EXIT_BAD_SETTINGS)
        for check_id in ("GL-P001", "GL-P002", "GL-P003"):
            self.assertIn(check_id, errors)

    def test_rejects_invalid_json(self):
        self.assertEqual(self.run_check(b"{")[0], EXIT_BAD_SETTINGS)
