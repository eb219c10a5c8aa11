from argparse import ArgumentParser, Namespace

from geraniumlead_client.addresses import add_address_arguments, read_addresses
from geraniumlead_client.exit_codes import OK
from geraniumlead_client.fleet_documents import fetch_newest
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.printing import print_json
from geraniumlead_client.tables import render_table


class ContractsCommand(ManagementCommand):
    """Show the contracts in force at the instance with the newest revision."""

    name = "contracts"
    help = "show the contracts in force"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the addresses."""
        add_address_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Print the contracts."""
        found = fetch_newest(read_addresses(arguments), "contracts")
        if isinstance(found, int):
            return found
        contracts = list(found.documents.values())
        if arguments.json:
            print_json({"revision": found.revision, "contracts": contracts})
            return OK
        print(f"revision {found.revision}")
        print(render_table(CONTRACT_HEADERS, [_contract_row(item) for item in contracts]))
        print()
        rows = [
            [contract["customer"], *_class_row(item)]
            for contract in contracts
            for item in contract["classes"]
        ]
        print(render_table(CLASS_HEADERS, rows))
        return OK


CONTRACT_HEADERS = ["customer", "rate/s", "burst", "concurrent", "weight", "from", "until"]
CLASS_HEADERS = [
    "customer",
    "class",
    "service",
    "priority",
    "deadline ms",
    "least coverage",
    "waits for all",
    "idempotent",
]


def _contract_row(contract: dict) -> list[object]:
    names = ("customer", "rate_per_s", "burst_requests", "concurrent_requests", "weight")
    return [*(contract[name] for name in names), contract["valid_from"], contract["valid_until"]]


def _class_row(item: dict) -> list[object]:
    return [
        item["name"],
        item["service"],
        item["priority"],
        item["deadline_ms"],
        f"{item['least_coverage']:.0%}",
        item["waits_for_all"],
        item["idempotent"],
    ]
