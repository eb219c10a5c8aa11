"""Play crowds and print a row for each: ``... misbehaving_clients.measure``.

Without arguments all crowds of the standard table are played, otherwise those that are named.
"""

import argparse
import asyncio

from geraniumlead_standins.misbehaving_clients.deployment import MisbehavedDeployment
from geraniumlead_standins.misbehaving_clients.play import Crowd, play

CROWDS = [
    Crowd("whole_body", 600),
    Crowd("one_byte_short", 1_500),
    Crowd("small_chunks", 300),
    Crowd("small_pieces", 1_200),
    Crowd("declared_over_limit", 200),
    Crowd("chunked_over_limit", 200),
    Crowd("many_fields", 600),
    Crowd("requests_ahead", 300),
    Crowd("bare_requests_ahead", 300),
    Crowd("one_byte_short", 3_600),
    Crowd("slow_sender", 2_600),
    Crowd("slow_sender", 5_000),
    Crowd("one_request_and_stay", 5_000),
    Crowd("unread_answer", 1_500),
    Crowd("unread_huge_answer", 600),
    Crowd("expecting", 1_500),
    Crowd("trailers", 300),
    Crowd("chunk_extensions", 300),
    Crowd("folded_lines", 300),
    Crowd("head_in_single_bytes", 600),
    Crowd("leaving_in_body", 600),
    Crowd("leaving_in_head", 1_000),
    Crowd("leaving_after_request", 600),
]


async def measure(crowds: list[Crowd], seconds: float) -> None:
    """Play each crowd against a deployment of its own, and print how it fared."""
    for crowd in crowds:
        deployment = MisbehavedDeployment()
        try:
            await deployment.start()
            result = await play(deployment, [crowd], seconds)
        finally:
            await deployment.stop()
        print(f"{crowd.clients:5} {crowd.behaviour:22} {result.describe()}", flush=True)


def main() -> None:
    """Play and print."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("behaviours", nargs="*", help="names; all if there are none")
    parser.add_argument("--seconds", type=float, default=12.0)
    arguments = parser.parse_args()
    names = set(arguments.behaviours)
    crowds = [crowd for crowd in CROWDS if not names or crowd.behaviour in names]
    asyncio.run(measure(crowds, arguments.seconds))


if __name__ == "__main__":
    main()
