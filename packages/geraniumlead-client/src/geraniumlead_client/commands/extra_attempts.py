from argparse import ArgumentParser, Namespace

from geraniumlead_client.exit_codes import FOUND_PROBLEMS, NOT_FOUND, OK
from geraniumlead_client.extra_attempt_report import ExtraAttemptReport, build_row
from geraniumlead_client.log_files import add_log_files, report_skipped
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.printing import print_error, print_json
from geraniumlead_client.shard_attempt_report import ShardAttemptSummary
from geraniumlead_client.tables import render_table

MAX_SERVICES_SHOWN = 10
MAX_SHARDS_SHOWN = 5

HEADERS = ["service", "sent", "requests", "allowed", "used", "until", "causes", "denied"]


class ExtraAttemptsCommand(ManagementCommand):
    """Show how near all instances together came to the bound of extra attempts, by service.

    It also shows the requests that may have reached more upstreams of a shard than their route
    allows.
    """

    name = "extra-attempts"
    help = "report from the logs of all instances how many attempts were sent beyond the first"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the logs and the output option."""
        parser.add_argument("files", nargs="+", metavar="FILE", help="- for standard input")
        parser.add_argument("--json", action="store_true", help="print JSON for programs")

    def run(self, arguments: Namespace) -> int:
        """Return 1 if a file is unreadable or a bound was exceeded, 3 without any attempt."""
        report = ExtraAttemptReport()
        unreadable_files = add_log_files(report, arguments.files)
        report_skipped(report.skipped)
        windows = report.nearest()
        if not windows:
            print_error("the logs hold no extra attempt")
            return FOUND_PROBLEMS if unreadable_files else NOT_FOUND
        summary = report.shards.summarize(MAX_SHARDS_SHOWN)
        if arguments.json:
            print_json({"services": windows, "shards": summary})
        else:
            rows = [build_row(window) for window in windows[:MAX_SERVICES_SHOWN]]
            print(render_table(HEADERS, rows))
            _print_shards(summary)
        is_exceeded = windows[0].used_share > 1.0 or summary.requests_over > 0
        return FOUND_PROBLEMS if is_exceeded or unreadable_files else OK


def _print_shards(summary: ShardAttemptSummary) -> None:
    print(
        f"{summary.requests} requests made several attempts for a shard, "
        f"{summary.by_several_instances} of them from several instances; "
        f"{summary.requests_over} may have reached more upstreams than their route allows"
    )
    for found in summary.worst:
        print(
            f"  {found.request_id} {found.service}: {', '.join(found.upstreams)} "
            f"({found.max_upstreams} allowed) from {', '.join(found.instances)}"
        )
