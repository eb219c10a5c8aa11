"""Build a driver with an instance whose upstreams answer at once."""

import asyncio
from hashlib import sha256
from random import Random

from msgspec.json import encode

from geraniumlead.actions import Action, AnswerCaller, CallUpstream
from geraniumlead.documents import (
    ContractDocument,
    DataCentreDocument,
    DocumentKind,
    IndexDocument,
    InstanceEntry,
    InstanceListDocument,
    ShardEntry,
    TrafficClass,
    UpstreamEntry,
    UpstreamListDocument,
    VersionedValue,
    document_key,
)
from geraniumlead.events import DocumentsReceived, TimerFired, UpstreamAnswered
from geraniumlead.instance import Instance
from geraniumlead.requests import Answered, Coverage
from geraniumlead.settings import InstanceSettings, LimitSettings, ListenSettings, TimingSettings
from geraniumlead.upstreams import Records
from geraniumlead_server.driver import InstanceDriver

CREDENTIAL = "secret-of-acme"
SHARDS = 3
CONFIGURED_AGE_MS = 60_000.0


def build_settings(**changes) -> InstanceSettings:
    """Return the settings of the only instance."""
    values = {
        "instance_id": "noord-1",
        "data_centre": "noord",
        "listen": ListenSettings(
            callers="127.0.0.1:1", operators="127.0.0.1:2", peers="127.0.0.1:3"
        ),
        "platform_addresses": ["127.0.0.1:4"],
        "limits": LimitSettings(body_bytes=2048),
        "timing": TimingSettings(pause_gap_ms=2 * CONFIGURED_AGE_MS),
    }
    return InstanceSettings(**(values | changes))


def build_contract() -> ContractDocument:
    """Return a contract with the classes lookup and booking."""
    return ContractDocument(
        customer="acme",
        credentials_sha256=[sha256(CREDENTIAL.encode()).hexdigest()],
        rate_per_s=10_000.0,
        burst_requests=10_000,
        concurrent_requests=10_000,
        classes=[
            TrafficClass(name="lookup", service="ledger", priority=0, deadline_ms=500),
            TrafficClass(
                name="booking", service="ledger", priority=0, deadline_ms=500, idempotent=False
            ),
        ],
    )


def build_documents() -> tuple[VersionedValue, ...]:
    """Return every document of the only data centre."""
    upstreams = [
        UpstreamEntry(
            upstream_id=f"ledger-{number}",
            service="ledger",
            address=f"127.0.0.1:{100 + number}",
            slots=50,
            connections=100,
        )
        for number in range(SHARDS)
    ]
    shards = [ShardEntry(shard=number, replicas=[f"ledger-{number}"]) for number in range(SHARDS)]
    instances = [InstanceEntry(instance_id="noord-1", peer_address="127.0.0.1:3")]
    documents = {
        document_key(DocumentKind.CONTRACT, "acme"): build_contract(),
        document_key(DocumentKind.DATA_CENTRE, "noord"): DataCentreDocument(
            name="noord", region="noord"
        ),
        document_key(DocumentKind.UPSTREAM_LIST, "noord"): UpstreamListDocument(
            data_centre="noord", upstreams=upstreams
        ),
        document_key(DocumentKind.INDEX, "ledger", "1"): IndexDocument(
            service="ledger", version=1, shards=shards
        ),
        document_key(DocumentKind.INSTANCE_LIST, "noord"): InstanceListDocument(
            data_centre="noord", instances=instances
        ),
    }
    return tuple(VersionedValue(key, 7, encode(value)) for key, value in documents.items())


def build_driver(**changes) -> InstanceDriver:
    """Return a driver of a configured instance; needs a running loop."""
    # The documents arrived long ago, so that the cold start of the upstreams may begin.
    configured_ms = asyncio.get_running_loop().time() * 1000.0 - CONFIGURED_AGE_MS
    instance = Instance(build_settings(**changes), Random(1), configured_ms)
    instance.start(configured_ms)
    received = DocumentsReceived(7, build_documents(), is_snapshot=True)
    instance.handle(received, configured_ms)

    def carry_out(action: Action) -> None:
        if isinstance(action, CallUpstream):
            subquery = action.subquery
            records = encode([{"id": f"v{subquery.index_version}-s{subquery.shard}"}])
            answer = Records(subquery.index_version, subquery.shard, records)
            driver.handle(UpstreamAnswered(action.call_id, answer))

    driver = InstanceDriver(instance, carry_out)
    driver.handle(TimerFired())
    return driver


def build_answer(**changes) -> AnswerCaller:
    """Return the action that gives a caller a whole answer."""
    values = {
        "request_id": "abc",
        "customer": "acme",
        "class_name": "lookup",
        "outcome": Answered(1, Coverage(3, 3), (b"[]",) * 3),
        "arrived_ms": 0.0,
        "subqueries": 3,
    }
    return AnswerCaller(**(values | changes))
