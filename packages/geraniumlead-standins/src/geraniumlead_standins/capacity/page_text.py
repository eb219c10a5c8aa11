"""The texts of the capacity page. Most figures come from the records."""

OPENING = """
# Capacity

What each role of geraniumlead needs at the target: 2,500 nodes, 12,000 servers, 440,000
queries a second to 1,200 shards each, 55 ms for 99 of 100, 3 regions, 11 data centres, 11,000
configuration changes a day in force within 6 s, and for control at most 2.8% of a core, 64 MB
and 24 KB/s a node.

`make capacity` measures and writes this page; a test fails when the page differs from
`docs/measurements/capacity.json` and `control.json`. Everything ran on one machine of twelve
shared cores with Python {python}, on loopback. CPU is process time; in-process lines take the
least of four runs, process runs are single ones. What is worked out from lines beyond their
measured sizes is an extrapolation; the sizes column says how far a line was measured. The same
code took up to 1.7 times as long from one minute to another on this machine, so a CPU figure is
good to about that factor.
"""

MECHANISMS = (
    (
        "coordinator",
        "one state machine; one message for each owner and tick",
        "CPU: decisions for each shard",
    ),
    (
        "owner",
        "rendezvous hash over the published list, bounded by connections",
        "CPU: one HTTP call a subquery",
    ),
    (
        "connections",
        "the owners of an upstream hold all of its connections",
        "30 connections: seven owners of four, of which six are used",
    ),
    (
        "cold start",
        "the first owners of the published list hold one call each",
        "a lost holder delays warming by the list's lag",
    ),
    (
        "admission",
        "shares from the published list, moved by reported demand",
        "reports carry the heaviest contracts only",
    ),
    ("tickets", "memory of the issuing incarnation", "rate of bookings times ten minutes"),
    (
        "member",
        "heartbeats to a bounded number of peers; paths in use are probed",
        "size of the demand report",
    ),
    (
        "watcher",
        "two a data centre; push to local peers, compare by revision",
        "a full read grows with all documents",
    ),
    ("platform", "only watchers hold a watch; others ask peers", "far below 2,000 calls/s"),
)

DATA_PATH_TEXT = """
## The data path's shape

At the target a node takes {subqueries} subqueries a second, and an upstream {per_server}. With
one HTTP call for each, a node spends {single} cores; with calls that carry what one tick
collected for an upstream, {batched} cores, which is about {processes} processes at 70% of a core
each. One Python process can't be a node at that size: the node is several processes, each an
instance of its own in the published list, which needs no other design.

The connection limit forces the hop: 12,000 servers of 30 connections are {connections} a node.
A refused request costs {refused_us} us of decision.

Batched calls to upstreams are not built: today's upstreams have two or three slots, so a batch
would hold one or two calls. The seam is `CallUpstream` and the upstream client; they are due
when an owner sends an upstream more than one subquery a tick, about 200 a second.

Beside a bare falcon and aiohttp fan-out of the same calls:
"""

CONTROL_TEXT = """
## Control budget

First idle instances as real processes (core share, resident memory, seconds until all of them
are ready), then one instance's heartbeats among state machines in one process, then the cost of
one changed document at growing views. Bytes are both ways, with {overhead} bytes assumed for the
headers of each message; core shares hold the transport. Data traffic is not in these figures.

Against 24 KB/s and 2.8% of a core, heartbeats and changes stay within the budget at 2,530
instances, but for the two watchers of a data centre: what they push at the target's rate of
changes ({spread} KB/s, from the table above) and their heartbeats together are a little above
24 KB/s. The remedy is that each pushes to half of its peers, and the other half learns by the
next heartbeat.

Memory is above its budget too: the state worked out from the lines above is {state} MB, beside
an interpreter with its libraries of {idle} MiB, and each of a node's processes holds it. The
remedy is a view without the other data centres' upstreams, since only their instances' addresses
are needed to route there; the seam is `ClusterView`. What it would save was not measured.
"""

TAIL_TEXT = """
## The tail

A query to 1,200 shards shows at its p99 each shard's {quantile}th percentile. With lognormal
service (median 4 ms, sigma 0.4) and one answer in a hundred ten times slower, by numpy:
"""

RECOVERY_TEXT = """
## Recovery work

Upstreams that get another owner when an instance or a rack of a data centre goes, of 1,091. A
new owner asks nobody: it follows the list, and is told the warmth by its peers.
"""

UNSOLVED = """
## Unsolved at the target

- The data path's cores: decisions in Python for each shard are the largest part after batching.
  A coordinator that hands an owner a list of shards, with the query once, should cost less; it was
  not tried. The message is `SubqueryBatch`.
- Batched calls to upstreams, see above.
- Memory of control beside the interpreter, see above.
- Nothing here was run at the target: the largest runs are in the columns of sizes.
"""

CLOSING = """
## How to measure again

`make capacity` took six minutes in its last whole run. `--render` writes the page from
the records alone, `--lines` measures again what needs no other process.
"""
