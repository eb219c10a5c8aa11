"""Play one behaviour: ``python -m geraniumlead_standins.misbehaving_clients``.

Prints what the clients were answered, as JSON.
"""

import argparse
import asyncio
import logging

from msgspec.json import encode

from geraniumlead_standins.misbehaving_clients.behaviours import BEHAVIOURS
from geraniumlead_standins.misbehaving_clients.script_runner import ScriptRunner


def main() -> None:
    """Play until the time is over."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("behaviour", choices=sorted(BEHAVIOURS))
    parser.add_argument("--clients", type=int, required=True)
    parser.add_argument("--seconds", type=float, required=True)
    parser.add_argument("--addresses", nargs="+", required=True, help="IP:port of each instance")
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    logging.disable(logging.CRITICAL)
    runner = ScriptRunner(arguments.behaviour, arguments.addresses, arguments.seed)
    asyncio.run(runner.run(arguments.clients, arguments.seconds))
    print(encode(dict(runner.outcomes)).decode())


if __name__ == "__main__":
    main()
