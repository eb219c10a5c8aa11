"""Render docs/CAPACITY.md from the records, so that all its figures are those of the records."""

from geraniumlead_standins.capacity.deployment_size import SIZES, TARGET
from geraniumlead_standins.capacity.node_costs import NodeCosts
from geraniumlead_standins.capacity.page_text import (
    CLOSING,
    CONTROL_TEXT,
    DATA_PATH_TEXT,
    MECHANISMS,
    OPENING,
    RECOVERY_TEXT,
    TAIL_TEXT,
    UNSOLVED,
)

SLOPE_NAMES = (
    ("local_query", "decisions, own upstream"),
    ("remote_query", "decisions, peer's upstream"),
    ("owner_batch", "decisions, owner for a peer"),
    ("instance_query", "whole instance, real processes"),
    ("upstream_call", "bare HTTP call to an upstream"),
    ("coding_subquery", "encode and decode a subquery"),
    ("coding_result", "encode and decode a result"),
    ("message", "one message between instances"),
    ("batch_bytes", "bytes of a batch"),
    ("upstream", "memory of an upstream"),
    ("contract", "memory of a contract"),
    ("peer", "memory of a peer"),
    ("open_shard", "memory of an open request"),
    ("ticket", "memory of a ticket"),
)


def render_page(measured: dict, control: dict) -> str:
    """Return the whole page."""
    costs = [(size, NodeCosts.from_slopes(size, measured)) for size in SIZES]
    sections = [
        OPENING.format(python=measured["python"]),
        _render_slopes(measured["slopes"]),
        _render_roles(costs),
        _render_mechanisms(),
        _render_data_path(measured, costs[-1][1]),
        _render_control(measured, control, costs),
        _render_tail(measured),
        _render_recovery(measured),
        UNSOLVED,
        CLOSING,
    ]
    return "\n\n".join(section.strip() for section in sections) + "\n"


def build_table(headings: list[str], rows: list[list]) -> str:
    """Return a Markdown table."""
    lines = ["| " + " | ".join(headings) + " |", "|" + "---|" * len(headings)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return "\n".join(lines)


def _render_slopes(slopes: dict) -> str:
    rows = []
    for key, text in SLOPE_NAMES:
        line = slopes[key]
        sizes = ", ".join(f"{point[0]:g}" for point in line["points"])
        rows.append(
            [
                text,
                f"{line['slope']:.4g}",
                f"{line['intercept']:.4g}",
                f"{line['unit']} a {line['per']}",
                sizes,
                f"{100 * line['error_share']:.1f}%",
            ]
        )
    headings = ["line", "slope", "at zero", "unit", "sizes measured", "worst residual"]
    return "## Measured lines\n\n" + build_table(headings, rows)


def _render_roles(costs: list) -> str:
    headings = ["role", "figure", *(size.name for size, _ in costs)]
    rows = [
        [role, figure, *(_format_number(value(size, found)) for size, found in costs)]
        for role, figure, value in _ROWS
    ]
    return "## Each role at three sizes, for one node\n\n" + build_table(headings, rows)


def _render_mechanisms() -> str:
    headings = ["role", "what carries it", "first limit"]
    rows = [list(row) for row in MECHANISMS]
    return "## Mechanism and first limit of each role\n\n" + build_table(headings, rows)


_ROWS = (
    ("fleet", "nodes", lambda size, found: size.nodes),
    ("fleet", "queries a second", lambda size, found: size.queries_per_s),
    ("coordinator", "subqueries a second", lambda size, found: size.subqueries_per_node_s),
    ("coordinator", "cores for decisions", lambda size, found: found.coordinator_cores),
    ("coordinator", "open requests, MB", lambda size, found: found.open_request_mb),
    ("coordinator", "peers reached a tick", lambda size, found: found.peers_per_tick),
    ("owner", "owners of an upstream", lambda size, found: found.owners_per_upstream),
    ("owner", "upstreams owned", lambda size, found: found.owned_upstreams),
    ("owner", "connections", lambda size, found: found.connections),
    ("owner", "cores for decisions", lambda size, found: found.owner_cores),
    ("owner", "cores for calls, one each", lambda size, found: found.upstream_call_cores),
    ("owner", "cores for calls, batched", lambda size, found: found.batched_call_cores),
    ("both", "messages a second", lambda size, found: found.messages_per_s),
    ("both", "cores for messages", lambda size, found: found.message_cores),
    ("both", "cores in all, calls one each", lambda size, found: found.data_cores),
    ("both", "cores in all, calls batched", lambda size, found: found.batched_data_cores),
    ("admission", "contracts, MB", lambda size, found: found.contract_mb),
    ("tickets", "remembered tickets, MB", lambda size, found: found.ticket_mb),
    ("member", "peers, MB", lambda size, found: found.peer_mb),
    ("member", "upstreams, MB", lambda size, found: found.upstream_mb),
    (
        "watcher",
        "bytes a second to spread changes",
        lambda size, found: found.propagation_bytes_per_s,
    ),
    ("platform", "calls a second, whole fleet", lambda size, found: found.platform_calls_per_s),
    ("upstream", "subqueries a second", lambda size, found: found.subqueries_per_server_s),
)


def _format_number(value: float) -> str:
    if value == 0:
        return "0"
    if value >= 100:
        return f"{value:,.0f}"
    return f"{value:.3g}"


def _render_data_path(measured: dict, target: NodeCosts) -> str:
    rows = [
        [
            row["shards"],
            f"{row['bare_us']:,.0f}",
            f"{row['instance_us']:,.0f}",
            f"{row['ratio']:.2f}",
        ]
        for row in measured["fan_out"]
    ]
    fan_out = build_table(["shards", "bare, us", "instance, us", "times"], rows)
    batch_spread = build_table(
        ["instances", "random owner", "by rank", "smallest cover"],
        [
            [row["instances"], row["random"], row["affinity"], row["cover"]]
            for row in measured["batch_spread"]
        ],
    )
    text = DATA_PATH_TEXT.format(
        subqueries=f"{TARGET.subqueries_per_node_s:,.0f}",
        single=f"{target.data_cores:.1f}",
        batched=f"{target.batched_data_cores:.1f}",
        processes=f"{target.batched_data_cores / 0.7:.0f}",
        connections=f"{target.connections:.0f}",
        per_server=f"{target.subqueries_per_server_s:,.0f}",
        refused_us=measured["refused_us"],
    )
    return f"{text.strip()}\n\n{fan_out}\n\nPeers that one tick reaches:\n\n{batch_spread}"


def _render_control(measured: dict, control: dict, costs: list) -> str:
    idle = build_table(
        ["instances", "core share of one", "resident, MiB", "all ready, s"],
        [
            [row["instances"], f"{row['cpu_share']:.4f}", row["resident_mib"], row["all_ready_s"]]
            for row in measured["idle"]
        ],
    )
    heartbeats = build_table(
        ["instances a data centre", "instances", "bytes a second", "us a call", "core share"],
        [
            [
                row["instances_per_data_centre"],
                row["instances"],
                f"{row['bytes_per_s_both_ways']:,.0f}",
                row["handle_us_per_call"],
                f"{row['core_share_with_transport']:.5f}",
            ]
            for row in control["beats"]
        ],
    )
    changes = build_table(
        ["instances", "upstreams", "state, MB", "ms a change", "core share at the target's rate"],
        [
            [
                row["instances"],
                row["upstreams"],
                row["held_mb"],
                row["contract_change_ms"],
                f"{row['core_share_at_target']:.5f}",
            ]
            for row in control["changes"]
        ],
    )
    text = CONTROL_TEXT.format(
        state=f"{costs[-1][1].state_mb:.1f}",
        spread=f"{costs[-1][1].propagation_bytes_per_s / 1000.0:.1f}",
        overhead=control["overhead_bytes_assumed"],
        idle=measured["idle"][0]["resident_mib"],
    )
    return "\n\n".join((text.strip(), idle, heartbeats, changes))


def _render_tail(measured: dict) -> str:
    rows = [
        [
            row["shards"],
            row["hedge_quantile"],
            row["wait_ms"],
            row["p99_none_ms"],
            row["p99_one_ms"],
            row["p99_two_ms"],
            f"{100 * row['extra_two_share']:.1f}%",
        ]
        for row in measured["tail"]
    ]
    headings = [
        "shards",
        "hedge after quantile",
        "wait, ms",
        "p99 none, ms",
        "p99 one hedge, ms",
        "p99 two hedges, ms",
        "extra load, two",
    ]
    quantile = f"{100 * measured['needed_quantile']['1200']:.4f}"
    return f"{TAIL_TEXT.format(quantile=quantile).strip()}\n\n{build_table(headings, rows)}"


def _render_recovery(measured: dict) -> str:
    rows = [
        [
            row["instances"],
            row["owned_per_instance"],
            row["moved_for_one"],
            row["rack_instances"],
            row["moved_for_rack"],
        ]
        for row in measured["ownership_moves"]
    ]
    headings = [
        "instances",
        "owned by one",
        "ownerships moved for one",
        "instances of a rack",
        "moved for the rack",
    ]
    return f"{RECOVERY_TEXT.strip()}\n\n{build_table(headings, rows)}"
