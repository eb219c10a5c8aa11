"""Check a single index version."""

from collections.abc import Iterator

from geraniumlead.checks.duplicates import find_duplicates
from geraniumlead.checks.message import CheckMessage
from geraniumlead.checks.registry import document_checks
from geraniumlead.documents.index import IndexDocument


@document_checks.register(IndexDocument)
def check_shard_numbers(index: IndexDocument) -> Iterator[CheckMessage]:
    """Find gaps and duplicates: a key's shard is its hash modulo the number of shards."""
    numbers = [entry.shard for entry in index.shards]
    for position, number in find_duplicates(numbers):
        yield CheckMessage(
            id="GL-I001",
            path=f"$.shards[{position}].shard",
            text=f"shard {number} stands twice",
            hint="number the shards from 0",
        )
    missing = sorted(set(range(len(numbers))) - set(numbers))
    if missing:
        yield CheckMessage(
            id="GL-I002",
            path="$.shards",
            text=f"shard {missing[0]} is missing among {len(numbers)} shards",
            hint="number the shards from 0 without gaps",
        )


@document_checks.register(IndexDocument)
def check_replicas(index: IndexDocument) -> Iterator[CheckMessage]:
    """Find a replica that a shard names twice, which would get twice the share of calls."""
    for shard_index, entry in enumerate(index.shards):
        for replica_index, name in find_duplicates(entry.replicas):
            yield CheckMessage(
                id="GL-I003",
                path=f"$.shards[{shard_index}].replicas[{replica_index}]",
                text=f"the replica {name!r} stands twice",
                hint="name each replica once",
            )
