"""Test that all errors of a file are reported at once."""

from unittest import TestCase

from msgspec import to_builtins
from msgspec.json import encode

from core_tests.builders import build_contract
from geraniumlead.file_checks import check_text


def find(value, **options) -> list[tuple[str, str]]:
    """Return id and path of each finding in the JSON text of a value."""
    text = value if isinstance(value, bytes) else encode(value)
    findings = check_text("file", text, **options).findings
    return [(message.id, message.path) for _, message in findings]


class CheckTextTests(TestCase):
    def build(self, **changes) -> dict:
        return to_builtins(build_contract()) | changes

    def test_accepts_a_valid_contract(self):
        self.assertEqual(find(self.build()), [])

    def test_reports_all_errors_at_once(self):
        contract = self.build(rate_per_s=-1, weight="8", colour="red")
        del contract["burst_requests"]
        self.assertEqual(
            sorted(find(contract)),
            [
                ("GL-S001", "$.colour"),
                ("GL-S003", "$"),
                ("GL-S004", "$.weight"),
                ("GL-S005", "$.rate_per_s"),
            ],
        )

    def test_reports_a_wrong_unit_and_the_right_field(self):
        contract = self.build()
        contract["classes"][0]["deadline_s"] = 1
        findings = check_text("file", encode(contract)).findings
        self.assertEqual(findings[0][1].id, "GL-S002")
        self.assertEqual(findings[0][1].path, "$.classes[0].deadline_s")
        self.assertIn("'deadline_ms'", findings[0][1].hint)

    def test_finds_a_duplicate_name(self):
        text = encode(self.build()).replace(b'{"customer"', b'{"weight":1,"customer"', 1)
        self.assertEqual(find(text), [("GL-F002", "$")])

    def test_refuses_invalid_json(self):
        for text in (b"", b"{", b'{"customer": NaN}', b"[" * 100_000, b"\xff"):
            with self.subTest(text=text[:10]):
                self.assertEqual(find(text), [("GL-F001", "$")])

    def test_refuses_an_unknown_kind(self):
        self.assertEqual(find({"x": 1}), [("GL-F003", "$")])
        self.assertEqual(find([1]), [("GL-F003", "$")])

    def test_checks_documents_by_key(self):
        keyed = {
            "geraniumlead/contracts/other": self.build(),
            "geraniumlead/nonsense/x": {},
        }
        self.assertEqual([check_id for check_id, _ in find(keyed)], ["GL-F004", "GL-F003"])

    def test_checks_a_file_as_the_given_kind(self):
        self.assertIn(("GL-S003", "$"), find(self.build(), kind="data-centres"))
