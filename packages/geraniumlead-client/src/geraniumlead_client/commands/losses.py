from argparse import ArgumentParser, ArgumentTypeError, Namespace

from geraniumlead_client.exit_codes import FOUND_PROBLEMS, NOT_FOUND, OK
from geraniumlead_client.log_files import add_log_files, report_skipped
from geraniumlead_client.loss_report import LONG_WAIT_MS, LossReport, LossRow
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.printing import print_error, print_json
from geraniumlead_client.tables import render_table

DEFAULT_LATE_SHARE = 0.1
MAX_SECONDS_SHOWN = 10


class LossesCommand(ManagementCommand):
    """Add up the credit that callers lost, by cause, second, route, data centre and instance.

    It is computed from the logs of all instances.
    """

    name = "losses"
    help = "report from the logs of all instances what callers lost, and why"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the logs, the credit of a late answer and the output options."""
        parser.add_argument("files", nargs="+", metavar="FILE", help="- for standard input")
        parser.add_argument(
            "--late-share",
            type=_parse_share,
            default=DEFAULT_LATE_SHARE,
            metavar="SHARE",
            help="credit of an answer after its goal, 0 to 1 (default: %(default)s)",
        )
        parser.add_argument("--plot", metavar="FILE", help="draw the losses by second as PNG")
        parser.add_argument("--json", action="store_true", help="print JSON for programs")

    def run(self, arguments: Namespace) -> int:
        """Return 1 if a file could not be read or drawn, 3 if the logs hold no request."""
        report = LossReport(arguments.late_share)
        unreadable_files = add_log_files(report, arguments.files)
        report_skipped(report.skipped)
        if not report.total.asked:
            print_error("the logs hold no caller's request")
            return FOUND_PROBLEMS if unreadable_files else NOT_FOUND
        if arguments.json:
            print_json(_to_document(report))
        else:
            _print_report(report)
        is_drawn = arguments.plot is None or _draw_plot(report, arguments.plot)
        return OK if is_drawn and not unreadable_files else FOUND_PROBLEMS


def _parse_share(text: str) -> float:
    try:
        share = float(text)
    except ValueError:
        share = -1.0
    if not 0.0 <= share <= 1.0:
        raise ArgumentTypeError(f"{text} is not between 0 and 1")
    return share


def _draw_plot(report: LossReport, name: str) -> bool:
    try:
        from geraniumlead_client.loss_plot import draw_losses
    except ImportError:
        print_error("--plot needs the package matplotlib, which is not installed")
        return False
    try:
        draw_losses(report, name)
    except (OSError, ValueError) as error:
        print_error(f"cannot draw {name}: {error}")
        return False
    return True


def _by_loss(rows: dict[str, LossRow]) -> list[LossRow]:
    return sorted(rows.values(), key=lambda row: (-row.lost, row.name))


def _by_name(rows: dict[str, LossRow]) -> list[LossRow]:
    return sorted(rows.values(), key=lambda row: row.name)


def _to_document(report: LossReport) -> dict[str, object]:
    return {
        "total": report.total,
        "causes": _by_loss(report.causes),
        "seconds": _by_name(report.seconds),
        "routes": _by_name(report.routes),
        "data_centres": _by_name(report.data_centres),
        "instances": _by_name(report.instances),
        "second_sendings": report.second_sendings,
        "times": report.times,
        "crashes": report.crashes.count(),
        "not_logged": report.not_logged,
    }


def _print_report(report: LossReport) -> None:
    total = report.total.asked
    _print_table("cause", [row for row in _by_loss(report.causes) if row.lost], total)
    _print_table("route", _by_name(report.routes), total)
    _print_table("data centre", _by_name(report.data_centres), total)
    _print_table("instance", _by_name(report.instances), total)
    _print_table("second", _by_loss(report.seconds)[:MAX_SECONDS_SHOWN], total)
    _print_table("all", [report.total], total)
    hedges = report.second_sendings
    print(f"second sendings of late parts: {hedges.sent}, of which {hedges.answered} answered")
    times = report.times
    print(
        f"requests that waited {LONG_WAIT_MS:.0f} ms or more before they were read: "
        f"{times.waited}, the longest {times.longest_wait_ms:.0f} ms"
    )
    print(
        f"attempts that were handed more time than their callers waited: {times.overruns}, "
        f"at most {times.longest_overrun_ms:.0f} ms more"
    )
    crashes = report.crashes.count()
    print(
        f"requests under which upstreams were lost: {crashes.requests}, upstreams lost: "
        f"{crashes.strikes}, at most {crashes.worst_strikes} under one ({crashes.worst}); refused: "
        f"{crashes.refused}, sent too late: {crashes.sent_too_late}"
    )
    print(f"lines that instances left out of their logs: {report.not_logged}")


def _print_table(title: str, rows: list[LossRow], total: int) -> None:
    cells = [
        [row.name, row.asked, row.lost, f"{row.lost / row.asked:.3f}", f"{row.lost / total:.4f}"]
        for row in rows
    ]
    print(render_table([title, "requests", "lost", "of each", "of all"], cells))
    print()
