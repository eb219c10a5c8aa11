import asyncio
import os
from argparse import ArgumentParser, Namespace

from geraniumlead_client.bounded_load import BoundedLoad, send_load
from geraniumlead_client.exit_codes import FOUND_PROBLEMS, OK, USAGE
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.printing import print_error, print_json
from geraniumlead_client.tables import render_table

MAX_RATE_PER_S = 2_000.0
MAX_DURATION_S = 300.0
CREDENTIAL_VARIABLE = "GERANIUMLEAD_CREDENTIAL"


class LoadCommand(ManagementCommand):
    """Send a bounded load of idempotent requests of one class and count the outcomes."""

    name = "load"
    help = "send a bounded load of one idempotent class"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the targets, the requests and the limits of the load."""
        parser.add_argument("--address", action="append", required=True, metavar="IP:PORT")
        parser.add_argument("--class", dest="class_name", required=True)
        parser.add_argument("--rate-per-s", type=float, default=20.0)
        parser.add_argument("--duration-s", type=float, default=5.0)
        parser.add_argument("--timeout-s", type=float, default=10.0)
        parser.add_argument("--query", default='{"text":"x"}', help="JSON of the query")
        parser.add_argument("--json", action="store_true", help="print JSON for programs")

    def run(self, arguments: Namespace) -> int:
        """Return 1 if a request got no answer."""
        # A token on the command line would be visible in the process list.
        credential = os.environ.get(CREDENTIAL_VARIABLE)
        if not credential:
            print_error(f"set {CREDENTIAL_VARIABLE} to the caller's token")
            return USAGE
        if arguments.rate_per_s > MAX_RATE_PER_S or arguments.duration_s > MAX_DURATION_S:
            print_error(f"at most {MAX_RATE_PER_S:.0f}/s for {MAX_DURATION_S:.0f} s")
            return USAGE
        load = BoundedLoad(
            addresses=arguments.address,
            credential=credential,
            class_name=arguments.class_name,
            query=arguments.query,
            rate_per_s=arguments.rate_per_s,
            duration_s=arguments.duration_s,
            timeout_s=arguments.timeout_s,
        )
        result = asyncio.run(send_load(load))
        if arguments.json:
            print_json(result)
        else:
            print(render_table(["outcome", "requests"], sorted(map(list, result.outcomes.items()))))
            print(f"p50 {result.p50_ms:.1f} ms, p99 {result.p99_ms:.1f} ms, sent {result.sent}")
        return FOUND_PROBLEMS if result.outcomes.get("unanswered") else OK
