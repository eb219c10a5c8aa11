from json import dumps, loads
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import TestCase

from client_tests.builders import run_command

MINUTE = "2026-12-03T10:00:"


def build_attempts(second: float, instance: str, **services: dict) -> str:
    fields = {
        "time": f"{MINUTE}{second:06.3f}+00:00",
        "event": "extra_attempts",
        "instance": instance,
        "services": services,
        "allowed_share": 0.2,
        "allowed_slack": 10.0,
        "window_ms": 10_000.0,
    }
    return dumps(fields)


def build_request(second: float, **changes) -> str:
    step = {"at_ms": 9.0, "service": "shard", "upstream": "i-1", "what": "again: late"}
    fields = {
        "time": f"{MINUTE}{second:06.3f}+00:00",
        "event": "request",
        "instance": "entry-1",
        "route": "all",
        "latency_ms": 100.0,
        "steps": [step],
    }
    return dumps(fields | changes)


class ExtraAttemptsCommandTests(TestCase):
    def run_report(self, *lines: str) -> tuple[int, dict]:
        code, found = self.run_whole_report(*lines)
        return code, found["services"][0]

    def run_whole_report(self, *lines: str) -> tuple[int, dict]:
        with TemporaryDirectory() as folder:
            path = Path(folder) / "1.log"
            path.write_text("\n".join(lines) + "\n")
            code, output, _ = run_command("extra-attempts", "--json", str(path))
        return code, loads(output)

    def test_the_attempts_of_all_instances_are_added_up(self):
        """Guards against a bound that each instance keeps, and all of them together do not."""
        lines = [
            build_attempts(1.0 + n, f"entry-{n}", shard={"late": 4, "left": 1}) for n in (0, 4)
        ]
        code, found = self.run_report(*lines)
        self.assertEqual((0, 8, 0.8), (code, found["sent"], found["used_share"]))
        code, found = self.run_report(*lines, build_attempts(9, "entry-9", shard={"failed": 3}))
        self.assertEqual((1, 1.1), (code, found["used_share"]))
        self.assertEqual({"late": 8, "failed": 3}, found["causes"])

    def test_windows_slide(self):
        lines = [build_attempts(at, "entry-1", shard={"late": 6}) for at in (1.0, 11.5, 20.0)]
        self.assertEqual(12, self.run_report(*lines)[1]["sent"])

    def test_denied_attempts_are_not_sent(self):
        line = build_attempts(1.0, "entry-1", shard={"late": 2, "denied": 30, "left": 0.4})
        _, found = self.run_report(line)
        self.assertEqual((2, 30), (found["sent"], found["denied"]))

    def test_requests_of_callers_raise_what_is_allowed(self):
        requests = [build_request(2.0) for _ in range(50)]
        delegated = [build_request(2.0, is_delegated=True) for _ in range(50)]
        line = build_attempts(3.0, "entry-1", shard={"late": 10})
        _, found = self.run_report(line, *requests, *delegated)
        self.assertEqual(
            (50, 20.0, 0.5), (found["requests"], found["allowed"], found["used_share"])
        )

    def test_attempts_of_two_instances_for_one_shard_are_joined(self):
        """Guards against three upstreams of a shard by two instances that sent to two each."""
        one = {"request_id": "r1", "max_upstreams": 2, "attempts": {"shard": ["i-1", "i-2"]}}
        other = one | {"instance": "entry-2", "attempts": {"shard": ["i-2"]}}
        third = one | {"instance": "entry-3", "attempts": {"shard": ["i-2", "i-3"]}}
        second = one | {"request_id": "r2", "attempts": {"shard": ["i-4", "i-5"], "other": ["i-6"]}}
        base = build_attempts(3.0, "entry-1", shard={"late": 1})
        lines = [build_request(2.0, **fields) for fields in (one, other, second)]
        code, found = self.run_whole_report(base, *lines)
        shards = found["shards"]
        self.assertEqual((0, 2, 1), (code, shards["requests"], shards["by_several_instances"]))
        self.assertEqual(0, shards["requests_over"])
        code, found = self.run_whole_report(base, *lines, build_request(2.1, **third))
        shards = found["shards"]
        self.assertEqual((1, 1), (code, shards["requests_over"]))
        (worst,) = shards["worst"]
        self.assertEqual(["i-1", "i-2", "i-3"], worst["upstreams"])
        self.assertEqual(["entry-1", "entry-2", "entry-3"], worst["instances"])

    def test_logs_without_extra_attempts_are_reported(self):
        with TemporaryDirectory() as folder:
            path = Path(folder) / "1.log"
            path.write_text(build_request(1.0) + "\n")
            code, _, errors = run_command("extra-attempts", str(path))
        self.assertEqual(3, code)
        self.assertIn("no extra attempt", errors)
