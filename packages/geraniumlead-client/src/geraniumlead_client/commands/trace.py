from argparse import ArgumentParser, Namespace

from geraniumlead_client.exit_codes import FOUND_PROBLEMS, NOT_FOUND, OK
from geraniumlead_client.log_files import add_log_files, report_skipped
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.printing import print_error, print_json
from geraniumlead_client.request_trace import RequestTrace, TraceStep
from geraniumlead_client.tables import render_table

HEADERS = ["time", "instance", "what", "service", "upstream", "inputs"]


class TraceCommand(ManagementCommand):
    """Join the log lines of all instances about one request in chronological order.

    Each step shows the inputs of its decision: the configuration's version, the time left until
    the goal, and the last state that the instance had observed of the upstream, with its age.
    """

    name = "trace"
    help = "trace one request through the logs of all instances"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the request's id, the logs and the output format."""
        parser.add_argument("request_id", metavar="ID")
        parser.add_argument("files", nargs="+", metavar="FILE", help="- for standard input")
        parser.add_argument("--json", action="store_true", help="print JSON for programs")

    def run(self, arguments: Namespace) -> int:
        """Return 1 if a file could not be read, 3 if no line has the id."""
        trace = RequestTrace(arguments.request_id)
        unreadable_files = add_log_files(trace, arguments.files)
        report_skipped(trace.skipped)
        if trace.is_known:
            _print_steps(trace.steps(), arguments.json)
        else:
            print_error(f"no line has the id {arguments.request_id}")
        if unreadable_files:
            return FOUND_PROBLEMS
        return OK if trace.is_known else NOT_FOUND


def _print_steps(steps: list[TraceStep], as_json: bool) -> None:
    if as_json:
        print_json(steps)
        return
    rows = [
        [step.time[11:23], step.instance, step.what, step.service, step.upstream, _render(step)]
        for step in steps
    ]
    print(render_table(HEADERS, rows))


def _render(step: TraceStep) -> str:
    return " ".join(f"{name}={_render_value(value)}" for name, value in step.inputs.items())


def _render_value(value: object) -> str:
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)
