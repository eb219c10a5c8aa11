from argparse import ArgumentParser, Namespace
from pathlib import Path

from geraniumlead.checks import CheckMessage, Level, check_set
from geraniumlead.file_checks import SCHEMA_NAMES, check_text
from geraniumlead_client.exit_codes import FOUND_PROBLEMS, OK
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.printing import print_json

Finding = tuple[str, CheckMessage]


class CheckCommand(ManagementCommand):
    """Check files before they are published and report all of their errors at once."""

    name = "check"
    help = "check contracts, lists, indexes and settings"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the files, their kind and the output format."""
        parser.add_argument("files", nargs="+", type=Path, metavar="FILE")
        parser.add_argument(
            "--kind", choices=SCHEMA_NAMES, help="kind of all files (default: guessed)"
        )
        parser.add_argument("--strict", action="store_true", help="fail on warnings too")
        parser.add_argument("--json", action="store_true", help="print JSON for programs")

    def run(self, arguments: Namespace) -> int:
        """Return 1 if a file has an error, or with --strict a warning."""
        findings = check_files(arguments.files, arguments.kind)
        errors = [message for _, message in findings if message.level is Level.ERROR]
        if arguments.json:
            print_json([{"file": name, "message": message} for name, message in findings])
        else:
            for name, message in findings:
                print(f"{name}: {message.level.value}: {message.to_text()}")
            warnings = len(findings) - len(errors)
            print(f"{len(arguments.files)} files, {len(errors)} errors, {warnings} warnings")
        failing = findings if arguments.strict else errors
        return FOUND_PROBLEMS if failing else OK


def check_files(paths: list[Path], kind: str | None) -> list[Finding]:
    """Return the findings for each file, and those for all files as a set."""
    findings: list[Finding] = []
    documents = []
    for path in paths:
        try:
            text = path.read_bytes()
        except OSError as error:
            message = CheckMessage(id="GL-F005", path="$", text=f"cannot read: {error.strerror}")
            findings.append((str(path), message))
            continue
        checked = check_text(str(path), text, kind)
        findings += checked.findings
        documents += checked.documents
    findings += [(item.name, message) for item, message in check_set(documents)]
    return findings
