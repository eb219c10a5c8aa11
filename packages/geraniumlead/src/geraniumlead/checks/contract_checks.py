"""Check a single contract."""

from collections.abc import Iterator
from datetime import datetime

from geraniumlead.checks.duplicates import find_duplicates
from geraniumlead.checks.message import CheckMessage, Level
from geraniumlead.checks.registry import document_checks
from geraniumlead.documents.contract import ContractDocument

MILLISECONDS_PER_S = 1000.0


@document_checks.register(ContractDocument)
def check_class_names(contract: ContractDocument) -> Iterator[CheckMessage]:
    """Find classes with the same name, of which only the first would be used."""
    for position, name in find_duplicates(item.name for item in contract.classes):
        yield CheckMessage(
            id="GL-C001",
            path=f"$.classes[{position}].name",
            text=f"the class {name!r} stands twice",
            hint="give each class a name of its own",
        )


@document_checks.register(ContractDocument)
def check_credentials(contract: ContractDocument) -> Iterator[CheckMessage]:
    """Find credentials that are listed twice."""
    for position, _ in find_duplicates(contract.credentials_sha256):
        yield CheckMessage(
            id="GL-C002",
            path=f"$.credentials_sha256[{position}]",
            text="the credential stands twice",
            hint="list each digest once",
        )


@document_checks.register(ContractDocument)
def check_dates(contract: ContractDocument) -> Iterator[CheckMessage]:
    """Find invalid timestamps, and an end that is not after the start."""
    instants = {}
    for name in ("valid_from", "valid_until"):
        text = getattr(contract, name)
        if text is None:
            continue
        instants[name] = parse_instant(text)
        if instants[name] is None:
            yield CheckMessage(
                id="GL-C003",
                path=f"$.{name}",
                text=f"{text!r} is no RFC 3339 instant",
                hint="write date, time and offset, such as 2027-01-31T00:00:00Z",
            )
    start, end = instants.get("valid_from"), instants.get("valid_until")
    if start is not None and end is not None and end <= start:
        yield CheckMessage(
            id="GL-C004",
            path="$.valid_until",
            text="the contract ends before it starts",
            hint="swap the dates",
        )


@document_checks.register(ContractDocument)
def check_coverage(contract: ContractDocument) -> Iterator[CheckMessage]:
    """Find classes whose least coverage contradicts their other fields."""
    for position, item in enumerate(contract.classes):
        if not item.idempotent and item.least_coverage < 1:
            yield CheckMessage(
                id="GL-C005",
                path=f"$.classes[{position}].least_coverage",
                text="a non-idempotent class cannot accept a partial answer",
                hint="leave least_coverage out",
            )
        if not item.waits_for_all and item.least_coverage == 1:
            yield CheckMessage(
                id="GL-C006",
                path=f"$.classes[{position}].waits_for_all",
                text="the class may end early, but accepts only whole answers",
                hint="lower least_coverage or set waits_for_all",
                level=Level.WARNING,
            )


@document_checks.register(ContractDocument)
def check_limits(contract: ContractDocument) -> Iterator[CheckMessage]:
    """Find a concurrency limit that the customer's rate and burst can never reach."""
    max_deadline_s = max(item.deadline_ms for item in contract.classes) / MILLISECONDS_PER_S
    max_open_requests = contract.burst_requests + contract.rate_per_s * max_deadline_s
    if contract.concurrent_requests > max_open_requests:
        yield CheckMessage(
            id="GL-C007",
            path="$.concurrent_requests",
            text=(
                f"rate, burst and the longest deadline never let more than {max_open_requests:.0f} "
                "requests be open"
            ),
            hint="lower concurrent_requests, or raise rate_per_s or burst_requests",
            level=Level.WARNING,
        )


def parse_instant(text: str) -> datetime | None:
    """Return an RFC 3339 timestamp with an offset, or None for any other text."""
    try:
        instant = datetime.fromisoformat(text)
    except ValueError:
        return None
    return instant if instant.tzinfo is not None else None
