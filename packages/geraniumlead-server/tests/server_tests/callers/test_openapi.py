"""Test that the committed OpenAPI document is current."""

from json import loads
from pathlib import Path
from unittest import TestCase

from geraniumlead_server.callers.openapi import render_openapi
from geraniumlead_server.callers.rendering import _CLIENT_ERROR_STATUSES

PAGE = Path(__file__).parents[5] / "docs" / "reference" / "openapi.json"


class OpenApiTests(TestCase):
    def test_committed_page_is_current(self):
        """Regenerate it with: python -m geraniumlead_server.callers.openapi."""
        self.assertEqual(PAGE.read_bytes(), render_openapi())

    def test_every_status_of_a_refusal_is_described(self):
        described = loads(render_openapi())["paths"]["/v1/queries"]["post"]["responses"]
        used = {status.split()[0] for status in _CLIENT_ERROR_STATUSES.values()}
        self.assertLessEqual(used, described.keys())
