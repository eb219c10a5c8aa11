"""Count the ownerships that move when instances of a data centre disappear."""

from geraniumlead.hashing import rank_by_rendezvous

UPSTREAMS_PER_DATA_CENTRE = 1_091
INSTANCE_COUNTS = (7, 24, 60, 120, 227)
OWNERS = 6
RACK_INSTANCES = 20


def measure_moves() -> list[dict]:
    """Return how many ownerships move for one instance and for one rack, by instances."""
    upstreams = [f"lookup-{number}" for number in range(UPSTREAMS_PER_DATA_CENTRE)]
    rows = []
    for count in INSTANCE_COUNTS:
        names = [f"noord-{number}" for number in range(count)]
        before = _find_owners(upstreams, names)
        one_gone = _find_owners(upstreams, names[1:])
        rack = min(RACK_INSTANCES, count // 3)
        rack_gone = _find_owners(upstreams, names[rack:])
        rows.append(
            {
                "instances": count,
                "owned_per_instance": round(len(upstreams) * min(OWNERS, count) / count, 1),
                "moved_for_one": _count_new(before, one_gone),
                "rack_instances": rack,
                "moved_for_rack": _count_new(before, rack_gone),
            }
        )
    return rows


def _find_owners(upstreams: list[str], names: list[str]) -> dict[str, set[str]]:
    return {name: set(rank_by_rendezvous(name, names)[:OWNERS]) for name in upstreams}


def _count_new(before: dict[str, set[str]], after: dict[str, set[str]]) -> int:
    return sum(len(after[name] - before[name]) for name in before)
