"""Measure what the control plane costs a node: ``python -m geraniumlead_standins.bench.control``.

The state machines of one data centre run idle in virtual time; ten other data centres of the
same size are listed, but don't run. Each heartbeat to a remote peer is echoed back, since all
instances send at the same rate. CPU time is that of the decisions. The cost of a message in the
transport is measured separately, over loopback.
"""

import argparse
import asyncio
import gc
import tracemalloc
from pathlib import Path
from statistics import fmean
from time import perf_counter, process_time

import zmq
import zmq.asyncio
from msgspec.json import encode, format

from geraniumlead.actions import Action, SendToPeer
from geraniumlead.documents import (
    DocumentKind,
    InstanceEntry,
    InstanceListDocument,
    UpstreamEntry,
    UpstreamListDocument,
    document_key,
)
from geraniumlead.events import PeerMessageReceived
from geraniumlead.instance import Instance
from geraniumlead.peer_messages import Heartbeat, encode_message
from geraniumlead_standins.virtual.small_cluster import (
    ClusterSize,
    SmallCluster,
    default_contract,
)

LOCAL_SIZES = (6, 60, 230)
REMOTE_DATA_CENTRES = 10
UPSTREAMS_PER_DATA_CENTRE = 1_091
SETTLE_MS = 4_000.0
MEASURED_MS = 10_000.0
MESSAGES = 20_000
CHANGES = 20

OVERHEAD_BYTES = 110
"""Assumed overhead of a message that is alone in its packet: 52 bytes for the IP and TCP headers
with timestamps, and about 58 for the ZMTP frames and the CURVE box."""

TARGET_BYTES_PER_S = 24_000
TARGET_CORE_SHARE = 0.028
CHANGES_PER_S = 11_000 / 86_400


class ControlCluster:
    """The instances of one data centre, with counts of what they send and the time they take."""

    def __init__(self, instances: int) -> None:
        self.cluster = SmallCluster.from_size(ClusterSize(instances=instances, shards=1), 1)
        self.run = self.cluster.run
        self.messages = 0
        self.payload_bytes = 0
        self.run.on_action = self._count_sent
        self._names = list(self.run.instances)
        self.run.publish(_build_remote_instance_lists(instances))

    def measure(self) -> dict:
        """Return the costs of one node per second."""
        self.run.queue.run_until(SETTLE_MS)
        self.messages = self.payload_bytes = 0
        timer = HandleTimer()
        with timer:
            self.run.queue.run_until(SETTLE_MS + MEASURED_MS)
        node_seconds = len(self._names) * MEASURED_MS / 1_000.0
        return {
            "instances_per_data_centre": len(self._names),
            "instances": len(self._names) * (1 + REMOTE_DATA_CENTRES),
            "sent_messages_per_s": round(self.messages / node_seconds, 2),
            "sent_payload_bytes_per_s": round(self.payload_bytes / node_seconds, 1),
            "payload_bytes_per_message": round(self.payload_bytes / self.messages, 1),
            "handle_calls_per_s": round(timer.calls / node_seconds, 2),
            "handle_us_per_call": round(timer.elapsed_s / timer.calls * 1e6, 2),
            "handle_core_share": round(timer.elapsed_s / node_seconds, 6),
        }

    def _count_sent(self, name: str, action: Action, now_ms: float) -> None:
        if not isinstance(action, SendToPeer):
            return
        self.messages += 1
        self.payload_bytes += len(encode_message(action.message))
        if action.instance_id not in self.run.instances and isinstance(action.message, Heartbeat):
            receiver = self.run.random.choice(self._names)
            event = PeerMessageReceived(action.instance_id, action.message)
            self.run.queue.add(now_ms + 1.0, lambda: self.run.deliver(receiver, event))


class HandleTimer:
    """A context manager that sums the time and the calls of ``Instance.handle``."""

    def __init__(self) -> None:
        self.calls = 0
        self.elapsed_s = 0.0
        self._original_handle = Instance.handle

    def __enter__(self) -> "HandleTimer":
        original_handle, timer = self._original_handle, self

        def timed(instance, event, now_ms):
            started_s = perf_counter()
            actions = original_handle(instance, event, now_ms)
            timer.elapsed_s += perf_counter() - started_s
            timer.calls += 1
            return actions

        Instance.handle = timed
        return self

    def __exit__(self, *exception) -> None:
        Instance.handle = self._original_handle


def _build_remote_instance_lists(instances: int) -> dict[str, bytes]:
    values = {}
    for data_centre_number in range(REMOTE_DATA_CENTRES):
        name = f"remote{data_centre_number}"
        entries = [
            InstanceEntry(instance_id=f"{name}-{number}", peer_address="10.1.0.1:1")
            for number in range(instances)
        ]
        document = InstanceListDocument(data_centre=name, instances=entries)
        values[document_key(DocumentKind.INSTANCE_LIST, name)] = encode(document)
    return values


def _build_remote_upstream_lists() -> dict[str, bytes]:
    values = {}
    for data_centre_number in range(REMOTE_DATA_CENTRES):
        name = f"remote{data_centre_number}"
        entries = [
            UpstreamEntry(
                upstream_id=f"ledger-{name}-{number}",
                service="ledger",
                address=f"10.2.{data_centre_number}.1:{1_000 + number}",
                slots=2,
                connections=30,
            )
            for number in range(UPSTREAMS_PER_DATA_CENTRE)
        ]
        document = UpstreamListDocument(data_centre=name, upstreams=entries)
        values[document_key(DocumentKind.UPSTREAM_LIST, name)] = encode(document)
    return values


def measure_changes(instances: int) -> dict:
    """Return how long one instance takes to apply a change, with the target's upstreams listed."""
    # Otherwise the collector traverses objects that the previous measurement left.
    gc.collect()
    cluster = SmallCluster.from_size(ClusterSize(instances=1), 1)
    run = cluster.run
    tracemalloc.start()
    run.publish(_build_remote_instance_lists(instances) | _build_remote_upstream_lists())
    run.queue.run_until(SETTLE_MS)
    held_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    contract_ms = [_time_change(run, _contract_value(number)) for number in range(CHANGES)]
    lists = _build_remote_instance_lists(instances - 1)
    list_ms = [_time_change(run, {key: value}) for key, value in lists.items()]
    return {
        "instances": instances * REMOTE_DATA_CENTRES,
        "upstreams": UPSTREAMS_PER_DATA_CENTRE * REMOTE_DATA_CENTRES,
        "held_mb": round(held_bytes / 1e6, 2),
        "contract_change_ms": round(fmean(contract_ms), 3),
        "instance_list_change_ms": round(fmean(list_ms), 3),
        "core_share_at_target": round(fmean(contract_ms) / 1_000.0 * CHANGES_PER_S, 6),
    }


def _contract_value(number: int) -> dict[str, bytes]:
    contract = default_contract()
    key = document_key(DocumentKind.CONTRACT, f"customer-{number}")
    fields = {name: getattr(contract, name) for name in contract.__struct_fields__}
    fields |= {"customer": f"customer-{number}", "credentials_sha256": [f"{number:064x}"]}
    return {key: encode(type(contract)(**fields))}


def _time_change(run, values: dict[str, bytes]) -> float:
    timer = HandleTimer()
    with timer:
        run.publish(values)
        run.queue.run_until(run.now_ms + 5.0)
    return timer.elapsed_s * 1_000.0


async def _time_transport(size: int, use_plain_socket: bool) -> float:
    """Return the CPU microseconds of one process that sends and receives one message."""
    context = zmq.asyncio.Context()
    router = context.socket(zmq.ROUTER, socket_class=zmq.Socket if use_plain_socket else None)
    router.setsockopt(zmq.RCVHWM, 0)
    port = router.bind_to_random_port("tcp://127.0.0.1")
    dealer = context.socket(zmq.DEALER, socket_class=zmq.Socket)
    dealer.setsockopt(zmq.SNDHWM, 0)
    dealer.connect(f"tcp://127.0.0.1:{port}")
    data = b"x" * size
    started_s = process_time()
    for _ in range(MESSAGES):
        dealer.send(data)
    if use_plain_socket:
        await _receive_plain(router)
    else:
        for _ in range(MESSAGES):
            await router.recv_multipart()
    elapsed_s = process_time() - started_s
    context.destroy(linger=0)
    return elapsed_s / MESSAGES * 1e6


async def _receive_plain(router: zmq.Socket) -> None:
    loop, done = asyncio.get_running_loop(), asyncio.Event()
    received = 0

    def receive() -> None:
        nonlocal received
        while True:
            try:
                router.recv_multipart(zmq.NOBLOCK)
            except zmq.Again:
                break
            received += 1
        if received >= MESSAGES:
            done.set()

    loop.add_reader(router.getsockopt(zmq.FD), receive)
    loop.call_soon(receive)
    await done.wait()
    loop.remove_reader(router.getsockopt(zmq.FD))


def _add_totals(row: dict, message_us: float) -> dict:
    sent = row["sent_messages_per_s"]
    bytes_per_s = 2 * (row["sent_payload_bytes_per_s"] + sent * OVERHEAD_BYTES)
    core_share = row["handle_core_share"] + sent * message_us / 1e6
    return row | {
        "bytes_per_s_both_ways": round(bytes_per_s),
        "core_share_with_transport": round(core_share, 5),
        "within_target": bytes_per_s <= TARGET_BYTES_PER_S and core_share <= TARGET_CORE_SHARE,
    }


def measure() -> dict:
    """Run every measurement."""
    transport = {
        "awaitable_socket_us": round(asyncio.run(_time_transport(120, use_plain_socket=False)), 2),
        "plain_socket_us": round(asyncio.run(_time_transport(120, use_plain_socket=True)), 2),
        "messages": MESSAGES,
        "note": "one process sends and receives; sending, receiving and the I/O thread together",
    }
    rows = []
    for size in LOCAL_SIZES:
        rows.append(_add_totals(ControlCluster(size).measure(), transport["plain_socket_us"]))
        print(rows[-1], flush=True)
    return {
        "beats": rows,
        "transport": transport,
        "overhead_bytes_assumed": OVERHEAD_BYTES,
        "changes": [measure_changes(size) for size in LOCAL_SIZES],
        "changes_per_s_at_target": round(CHANGES_PER_S, 4),
    }


def main() -> None:
    """Run the measurements and write control.json."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--folder", type=Path, default=Path("docs/measurements"))
    arguments = parser.parse_args()
    arguments.folder.mkdir(parents=True, exist_ok=True)
    path = arguments.folder / "control.json"
    path.write_bytes(format(encode(measure()), indent=2) + b"\n")
    print(path)


if __name__ == "__main__":
    main()
