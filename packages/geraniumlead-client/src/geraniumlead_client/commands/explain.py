from argparse import ArgumentParser, Namespace
from urllib.parse import quote

from geraniumlead_client.addresses import add_address_arguments, read_addresses
from geraniumlead_client.exit_codes import NOT_FOUND, OK, UNREACHABLE, USAGE
from geraniumlead_client.explanations import explain_outcome
from geraniumlead_client.management_command import ManagementCommand
from geraniumlead_client.operators_api import Reply, fetch_replies
from geraniumlead_client.printing import print_error, print_json


class ExplainCommand(ManagementCommand):
    """Explain one request: the limit that refused it, its outcome and its upstreams.

    Every given instance is asked for the request.
    """

    name = "explain"
    help = "explain one request or refusal"

    def add_arguments(self, parser: ArgumentParser) -> None:
        """Add the request's id and the addresses."""
        parser.add_argument("request_id", help="X-Request-Id of the request or the answer")
        add_address_arguments(parser)

    def run(self, arguments: Namespace) -> int:
        """Return 3 if no instance remembers the request, 4 if no instance answers."""
        addresses = read_addresses(arguments)
        if not addresses:
            print_error("give --address or --addresses")
            return USAGE
        replies = fetch_replies(addresses, f"/v1/requests/{quote(arguments.request_id, safe='')}")
        found = [reply for reply in replies if reply.body is not None]
        if arguments.json:
            print_json({reply.address: reply.body["requests"] for reply in found})
        else:
            _print_found(found)
        for reply in replies:
            if not reply.is_reachable:
                print_error(f"{reply.address} does not answer; it may know the request")
        if found:
            return OK
        if not any(reply.is_reachable for reply in replies):
            return UNREACHABLE
        print_error("no instance that answered remembers the request")
        return NOT_FOUND


def _print_found(found: list[Reply]) -> None:
    for reply in found:
        for request in reply.body["requests"]:
            print(f"{request['request_id']} at {reply.address}")
            for line in explain_outcome(request):
                print(f"  {line}")
