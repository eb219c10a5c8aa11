"""Count the messages of one batching tick for three ways to choose between owners."""

from random import Random

from geraniumlead.hashing import rank_by_rendezvous

UPSTREAMS_PER_DATA_CENTRE = 1_091
INSTANCE_COUNTS = (24, 60, 120, 227)
OWNERS = 6
COORDINATORS = 12


def measure_spread() -> list[dict]:
    """Return how many peers a tick reaches if it holds one subquery for each upstream.

    ``random`` chooses any owner, ``affinity`` the owner that ranks first for the coordinator, and
    ``cover`` a small set of owners that together own all upstreams (greedy set cover).
    """
    upstreams = [f"lookup-{number}" for number in range(UPSTREAMS_PER_DATA_CENTRE)]
    rows = []
    for count in INSTANCE_COUNTS:
        names = [f"noord-{number}" for number in range(count)]
        owners = {name: rank_by_rendezvous(name, names)[:OWNERS] for name in upstreams}
        sums = {"random": 0, "affinity": 0, "cover": 0}
        loads: dict[str, int] = dict.fromkeys(names, 0)
        for coordinator in names[:COORDINATORS]:
            random = Random(coordinator)
            sums["random"] += len({random.choice(found) for found in owners.values()})
            ranks = {name: rank for rank, name in enumerate(rank_by_rendezvous(coordinator, names))}
            picked = [min(found, key=ranks.__getitem__) for found in owners.values()]
            sums["affinity"] += len(set(picked))
            for name in picked:
                loads[name] += 1
            sums["cover"] += _count_covering_owners(owners)
        rows.append(
            {
                "instances": count,
                **{name: round(total / COORDINATORS, 1) for name, total in sums.items()},
            }
        )
    return rows


def _count_covering_owners(owners: dict[str, list[str]]) -> int:
    owned: dict[str, set[str]] = {}
    for upstream_id, found in owners.items():
        for name in found:
            owned.setdefault(name, set()).add(upstream_id)
    uncovered = set(owners)
    chosen = 0
    while uncovered:
        best = max(owned, key=lambda name: len(owned[name] & uncovered))
        uncovered -= owned[best]
        chosen += 1
    return chosen
