from io import BytesIO, TextIOWrapper
from json import dumps, loads
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase
from unittest.mock import patch

from client_tests.builders import run_command


def build_line(instance: str, second: str, event: str, **fields) -> str:
    return dumps(
        {"time": f"2026-12-03T10:00:{second}+00:00", "event": event, "instance": instance} | fields
    )


CALLED = build_line(
    "entry-1",
    "02.300",
    "request",
    request_id="r-1",
    reason="answered",
    status=200,
    version=7,
    latency_ms=300.0,
    goal_left_ms=-12.0,
    missing=["shard-2"],
    steps=[{"at_ms": 90.0, "service": "shard-2", "upstream": "i-9", "what": "again: late"}],
)
PEER = build_line("entry-2", "02.250", "request", request_id="r-1", latency_ms=200.0, status=None)
KNOWN = build_line("entry-1", "01.000", "upstream_entered", upstream="i-9", ready=True)
LATER = build_line("entry-1", "03.000", "upstream_left", upstream="i-9", cause="lapsed")
OTHER = build_line("entry-1", "02.100", "request", request_id="r-2", latency_ms=1.0)


class TraceCommandTests(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name: str, *lines: str) -> str:
        path = self.folder / name
        path.write_text("\n".join(lines) + "\n")
        return str(path)

    def test_the_lines_of_all_instances_become_one_trace(self):
        first = self.write("1.log", LATER, OTHER, CALLED, f"12.5 entry-1 {KNOWN}")
        second = self.write("2.log", PEER)
        code, output, errors = run_command("trace", "r-1", "--json", first, second)
        self.assertEqual((0, ""), (code, errors))
        steps = loads(output)
        found = [(step["time"][17:23], step["instance"], step["what"]) for step in steps]
        expected = [
            ("02.000", "entry-1", "arrived"),
            ("02.050", "entry-2", "arrived"),
            ("02.090", "entry-1", "again: late"),
            ("02.250", "entry-2", "ended"),
            ("02.300", "entry-1", "ended"),
        ]
        self.assertEqual(expected, found)
        observed_state = {"known": "upstream_entered", "age_s": 1.3, "ready": True}
        self.assertEqual(observed_state, steps[2]["inputs"])
        ended = steps[4]["inputs"]
        self.assertEqual((7, -12.0), (ended["version"], ended["goal_left_ms"]))

    def test_prints_a_table_without_json(self):
        code, output, _ = run_command("trace", "r-1", self.write("1.log", CALLED, KNOWN))
        self.assertEqual(0, code)
        self.assertIn("10:00:02.090", output)
        self.assertIn("missing=shard-2", output)

    def test_damaged_and_foreign_lines_are_skipped_and_reported(self):
        name = self.write("1.log", "not ours", '{"event": 1}', CALLED[:40], "", CALLED)
        code, output, errors = run_command("trace", "r-1", name)
        self.assertEqual(0, code)
        self.assertIn("again: late", output)
        self.assertIn("3 lines", errors)
        self.assertIn("1.log:1", errors)

    def test_an_unknown_id_and_an_unreadable_file_have_their_own_exit_codes(self):
        name = self.write("1.log", CALLED)
        self.assertEqual(3, run_command("trace", "r-9", name)[0])
        code, output, errors = run_command("trace", "r-1", name, str(self.folder / "none.log"))
        self.assertEqual((1, True), (code, "again: late" in output))
        self.assertIn("cannot read", errors)

    def test_a_log_may_come_on_standard_input(self):
        with patch("sys.stdin", TextIOWrapper(BytesIO(CALLED.encode()))):
            code, output, _ = run_command("trace", "r-1", "-")
        self.assertEqual((0, True), (code, "again: late" in output))
