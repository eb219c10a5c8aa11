from json import dumps, loads
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from client_tests.builders import run_command

SECONDS = "2026-12-03T10:00:0"


def build_line(second: float, instance: str = "entry-1", **changes) -> str:
    fields = {
        "time": f"{SECONDS}{second:.3f}+00:00",
        "event": "request",
        "instance": instance,
        "data_centre": "noord-a",
        "request_id": "r",
        "route": "all",
        "status": 200,
        "reason": "answered",
        "legs": 10,
        "answered": 10,
        "goal_left_ms": 50.0,
        "margin_ms": 7.0,
        "steps": [],
    }
    return dumps(fields | changes)


def step(what: str, service: str = "shard-1", upstream: str | None = "i-1") -> dict:
    return {"at_ms": 90.0, "service": service, "upstream": upstream, "what": what}


class LossesCommandTests(TestCase):
    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def run_losses(self, *lines: str, arguments: tuple[str, ...] = ()) -> dict:
        path = self.folder / "1.log"
        path.write_text("\n".join(lines) + "\n")
        code, output, errors = run_command("losses", "--json", *arguments, str(path))
        self.assertEqual((0, ""), (code, errors))
        return loads(output)

    def causes(self, *lines: str, **options) -> dict[str, float]:
        found = self.run_losses(*lines, **options)["causes"]
        return {row["name"]: round(row["lost"], 3) for row in found if row["lost"]}

    def test_a_whole_answer_in_time_loses_nothing(self):
        document = self.run_losses(build_line(1))
        self.assertEqual({"name": "all", "asked": 1, "lost": 0.0}, document["total"])

    def test_an_answer_within_the_margin_is_in_time(self):
        self.assertEqual({}, self.causes(build_line(1, goal_left_ms=-6.0)))

    def test_a_missing_shard_costs_by_the_square_of_the_share(self):
        line = build_line(1, answered=9, missing=["shard-1"], steps=[step("again: late")])
        self.assertEqual({"shard missing: both upstreams slow": 0.19}, self.causes(line))

    def test_a_late_answer_keeps_a_share(self):
        line = build_line(1, goal_left_ms=-80.0, steps=[step("waited for a place")])
        self.assertEqual({"late: waited for a place": 0.9}, self.causes(line))
        found = self.causes(line, arguments=("--late-share", "0.5"))
        self.assertEqual({"late: waited for a place": 0.5}, found)

    def test_refusals_and_failures_are_distinguished(self):
        found = self.causes(
            build_line(1, status=503, reason="no_upstream", answered=0),
            build_line(1, status=504, reason="timeout", answered=3),
        )
        self.assertEqual({"refused: no_upstream": 1.0, "failed: timeout": 1.0}, found)

    def test_requests_without_a_waiting_caller_are_left_out(self):
        """A peer logs a caller's request a second time; other lines have no caller any more."""
        document = self.run_losses(
            build_line(1),
            build_line(1, instance="entry-2", reason="for entry-1", status=None),
            build_line(1, reason="caller_left", status=None),
            build_line(1, reason="no_route", status=404),
        )
        self.assertEqual(1, document["total"]["asked"])

    def test_losses_are_added_by_second_instance_and_data_centre(self):
        document = self.run_losses(
            build_line(1.2, status=502, reason="lost"),
            build_line(1.9, instance="entry-2", data_centre="zuid-a"),
            build_line(2.1, instance="entry-2", data_centre="zuid-a"),
        )
        seconds = [(row["name"][-2:], row["asked"], row["lost"]) for row in document["seconds"]]
        self.assertEqual([("01", 2, 1.0), ("02", 1, 0.0)], seconds)
        self.assertEqual([1, 2], [row["asked"] for row in document["data_centres"]])
        self.assertEqual(["entry-1", "entry-2"], [row["name"] for row in document["instances"]])

    def test_hedges_and_lines_left_out_of_the_logs_are_counted(self):
        steps = [
            step("again: late", upstream="i-2"),
            step("answered after 30 ms", upstream="i-2"),
            step("again: late", service="shard-2", upstream="i-3"),
        ]
        document = self.run_losses(build_line(1, steps=steps, skipped_lines=4))
        self.assertEqual({"sent": 2, "answered": 1}, document["second_sendings"])
        self.assertEqual(4, document["not_logged"])

    def test_waits_and_attempts_with_too_much_time_are_counted_at_peers_too(self):
        document = self.run_losses(
            build_line(1, waited_ms=20.5, left_ms=900.0, handed_ms=880.0),
            build_line(
                1,
                "entry-2",
                reason="caller_left",
                waited_ms=1_520.0,
                overruns=24,
                overrun_ms=1_490.0,
            ),
            build_line(2, waited_ms=130.0, overruns=1, overrun_ms=3.0),
        )
        expected = {
            "waited": 2,
            "longest_wait_ms": 1_520.0,
            "overruns": 25,
            "longest_overrun_ms": 1_490.0,
        }
        self.assertEqual(expected, document["times"])

    def test_a_plot_is_drawn(self):
        path = self.folder / "losses.png"
        self.run_losses(build_line(1), build_line(3), arguments=("--plot", str(path)))
        self.assertEqual(b"\x89PNG", path.read_bytes()[:4])

    def test_prints_a_table_without_json(self):
        path = self.folder / "1.log"
        path.write_text(f"12.5 entry-1 {build_line(1, status=504, reason='timeout')}\nnoise\n")
        code, output, errors = run_command("losses", str(path))
        self.assertEqual(0, code)
        self.assertIn("failed: timeout", output)
        self.assertIn("1 lines are damaged", errors)

    def test_logs_without_requests_and_bad_arguments_are_reported(self):
        path = self.folder / "1.log"
        path.write_text("")
        self.assertEqual(3, run_command("losses", str(path))[0])
        self.assertEqual(1, run_command("losses", str(self.folder / "none.log"))[0])
        with self.assertRaises(SystemExit) as ended:
            run_command("losses", "--late-share", "2", str(path))
        self.assertEqual(2, ended.exception.code)
