"""Measure the CPU time of messages between instances: encoding, decoding and pyzmq."""

from time import process_time

import zmq

from geraniumlead.peer_messages import (
    SubqueryBatch,
    SubqueryResult,
    SubqueryResultBatch,
    decode_message,
    encode_message,
)
from geraniumlead.upstreams import Records, Subquery
from geraniumlead_standins.capacity.fits import min_of_runs

BATCH_SIZES = (1, 10, 50, 100, 300, 500)
ITEMS_PER_POINT = 60_000
MESSAGES = 8_000
MESSAGES_AT_ONCE = 50
MESSAGE_BYTES = (100, 1_000, 10_000, 50_000)


def build_subquery(number: int) -> Subquery:
    """Return a subquery of typical size."""
    return Subquery(
        call_id=f"noord-12.a1b2c3d4e5f6.{number}",
        request_id="7f3c9a0e5b1d4c28a6f0e9d8c7b6a594",
        upstream_id=f"lookup-noord-{number}",
        service="lookup",
        index_version=12,
        shard=number,
        remaining_ms=55.0,
        query=b'{"text":"member"}',
        customer="van-dijk",
        class_name="lookup",
    )


def measure_coding() -> tuple[list[tuple[float, float]], list[tuple[float, float]]]:
    """Return microseconds to encode and decode a batch by its size, for subqueries and results."""
    subqueries, results = [], []
    for size in BATCH_SIZES:
        items = tuple(build_subquery(number) for number in range(size))
        batch = SubqueryBatch(items)
        subqueries.append((float(size), min_of_runs(lambda b=batch, n=size: _time_coding(b, n))))
        records = Records(12, 7, b'[{"id":"a","hours":1.5}]')
        answers = tuple(SubqueryResult(item.call_id, records) for item in items)
        answered = SubqueryResultBatch(answers)
        results.append((float(size), min_of_runs(lambda b=answered, n=size: _time_coding(b, n))))
    return subqueries, results


def measure_bytes() -> list[tuple[float, float]]:
    """Return the bytes of an encoded batch of subqueries by its size."""
    points = []
    for size in BATCH_SIZES:
        batch = SubqueryBatch(tuple(build_subquery(number) for number in range(size)))
        points.append((float(size), float(len(encode_message(batch)))))
    return points


def measure_transport() -> list[tuple[float, float]]:
    """Return microseconds to send and receive one message over loopback, by its bytes."""
    return [(float(size), min_of_runs(lambda n=size: _time_transport(n))) for size in MESSAGE_BYTES]


def _time_coding(message, size: int) -> float:
    rounds = max(50, ITEMS_PER_POINT // size)
    started = process_time()
    for _ in range(rounds):
        decode_message(encode_message(message))
    return (process_time() - started) / rounds * 1e6


def _time_transport(size: int) -> float:
    # The daemon uses plain sockets too; awaitable ones cost four times as much.
    context = zmq.Context()
    router = context.socket(zmq.ROUTER)
    port = router.bind_to_random_port("tcp://127.0.0.1")
    dealer = context.socket(zmq.DEALER)
    dealer.connect(f"tcp://127.0.0.1:{port}")
    data = b"x" * size
    dealer.send(data)
    router.recv_multipart()
    started = process_time()
    for _ in range(MESSAGES // MESSAGES_AT_ONCE):
        for _ in range(MESSAGES_AT_ONCE):
            dealer.send(data)
        for _ in range(MESSAGES_AT_ONCE):
            router.recv_multipart()
    spent_s = process_time() - started
    context.destroy(linger=0)
    return spent_s / MESSAGES * 1e6
