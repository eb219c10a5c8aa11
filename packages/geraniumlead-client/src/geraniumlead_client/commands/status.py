from argparse import ArgumentParser, Namespace

from geraniumlead_client.addresses import add_address_arguments, read_addresses
from geraniumlead_client.exit_codes import FOUND_PROBLEMS, OK, UNREACHABLE, USAGE
from geraniumlead_client.fleet_status import FleetStatus
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.operators_api import fetch_replies
from geraniumlead_client.printing import print_error, print_json
from geraniumlead_client.tables import render_table


class StatusCommand(ManagementCommand):
    """Show the status of all given instances in common tables."""

    name = "status"
    help = "show instances, data centres, upstreams and the configuration in force"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the addresses and the amount of detail."""
        add_address_arguments(parser)
        parser.add_argument(
            "--all", action="store_true", help="show warming and unproven upstreams too"
        )

    def run(self, arguments: Namespace) -> int:
        """Return 1 if a problem was found, 4 if no instance answers."""
        addresses = read_addresses(arguments)
        if not addresses:
            print_error("give --address or --addresses")
            return USAGE
        fleet = FleetStatus.from_replies(fetch_replies(addresses, "/v1/status"))
        if arguments.json:
            print_json(fleet.to_builtins())
        else:
            print_fleet(fleet, arguments.all)
        if not fleet.statuses:
            return UNREACHABLE
        return FOUND_PROBLEMS if fleet.problems else OK


def print_fleet(fleet: FleetStatus, include_routine: bool) -> None:
    """Print tables of instances, data centres, upstreams and problems."""
    headers = [
        "instance",
        "data centre",
        "ready",
        "revision",
        "age ms",
        "watches",
        "open",
        "peers heard",
    ]
    print(render_table(headers, fleet.instance_rows()))
    print()
    print(render_table(["data centre", "state", "instances ready"], fleet.data_centre_rows()))
    print()
    headers = ["upstream", "service", "data centre", "condition", "seen by", "in flight", "waiting"]
    print(render_table(headers, fleet.upstream_rows(include_routine)))
    print()
    print(render_table(["service", "condition", "upstreams"], fleet.routine_condition_rows()))
    for problem in fleet.problems:
        print(f"! {problem}")
