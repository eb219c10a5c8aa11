"""Merge the statuses of many instances."""

from dataclasses import dataclass, field

from geraniumlead_client.operators_api import Reply

MAX_PLATFORM_AGE_MS = 30_000
"""A watch receives something every few seconds, so a greater age means a lost platform."""

CONDITION_EXPLANATIONS = {
    "unproven": "not called lately, so it may have restarted",
    "cold": "showed a sign of cold start",
    "warming": "answers at normal speed and is given more load step by step",
    "draining": "announced that it is leaving",
    "suspected": "answers late",
    "leaving": "published as leaving",
    "out": "its data centre was taken out",
}

ROUTINE_CONDITIONS = frozenset({"unproven", "warming"})
"""Conditions of upstreams that are rarely called; under low load they apply to most upstreams."""


@dataclass(slots=True)
class FleetStatus:
    """The replies of all queried instances, and the problems found in them."""

    statuses: list[dict]
    unreachable: list[Reply]
    problems: list[str] = field(default_factory=list)

    @classmethod
    def from_replies(cls, replies: list[Reply]) -> "FleetStatus":
        """Return the statuses, the instances that did not answer and the problems found."""
        statuses = [reply.body for reply in replies if reply.body is not None]
        unreachable = [reply for reply in replies if reply.body is None]
        fleet = cls(statuses, unreachable)
        fleet.problems = fleet._find_problems()
        return fleet

    def instance_rows(self) -> list[list[object]]:
        """Return one row for each instance; unreachable instances come last."""
        rows = [
            [
                status["instance_id"],
                status["data_centre"],
                status["ready"],
                status["revision"],
                _round(status["platform_age_ms"]),
                status["is_watcher"],
                status["open_requests"],
                f"{sum(status['peers'].values())} of {len(status['peers'])}",
            ]
            for status in self.statuses
        ]
        unknown = [None] * 6
        return rows + [[reply.address, "unreachable", *unknown] for reply in self.unreachable]

    def data_centre_rows(self) -> list[list[object]]:
        """Return one row for each data centre, with every state that some instance reports."""
        states: dict[str, set[str]] = {}
        for status in self.statuses:
            for name, state in status["data_centres"].items():
                states.setdefault(name, set()).add(state)
        return [
            [name, " or ".join(sorted(found)), self._count_ready(name)]
            for name, found in sorted(states.items())
        ]

    def routine_condition_rows(self) -> list[list[object]]:
        """Return the number of upstreams of each service in each routine condition."""
        counts: dict[tuple[str, str], set[str]] = {}
        for status in self.statuses:
            for upstream_id, found in status.get("upstreams", {}).items():
                for condition in ROUTINE_CONDITIONS & set(found["conditions"]):
                    counts.setdefault((found["service"], condition), set()).add(upstream_id)
        return [[*name, len(found)] for name, found in sorted(counts.items())]

    def upstream_rows(self, include_routine: bool) -> list[list[object]]:
        """Return one row for each condition that keeps an upstream from full use.

        Upstreams that are only unproven or warming are omitted unless ``include_routine`` is set.
        """
        hidden = frozenset() if include_routine else ROUTINE_CONDITIONS
        merged: dict[tuple[str, str], list] = {}
        for status in self.statuses:
            for upstream_id, found in status.get("upstreams", {}).items():
                for condition in found["conditions"]:
                    if condition in hidden:
                        continue
                    row = merged.setdefault((upstream_id, condition), [found, 0, 0, 0])
                    row[1] += 1
                    row[2] += found["in_flight"]
                    row[3] += found["waiting"]
        return [
            [
                upstream_id,
                found["service"],
                found["data_centre"],
                f"{condition}: {CONDITION_EXPLANATIONS.get(condition, '')}",
                seen_by,
                in_flight,
                waiting,
            ]
            for (upstream_id, condition), (found, seen_by, in_flight, waiting) in sorted(
                merged.items(), key=lambda item: item[0]
            )
        ]

    def to_builtins(self) -> dict:
        """Return the statuses, errors and problems as values that can be encoded as JSON."""
        return {
            "instances": self.statuses,
            "unreachable": {reply.address: reply.error for reply in self.unreachable},
            "problems": self.problems,
        }

    def _find_problems(self) -> list[str]:
        problems = [f"{reply.address} does not answer: {reply.error}" for reply in self.unreachable]
        revisions = {status["revision"] for status in self.statuses}
        if len(revisions) > 1:
            problems.append(f"revisions {min(revisions)} to {max(revisions)} are in force")
        for status in self.statuses:
            name = status["instance_id"]
            age_ms = status["platform_age_ms"]
            if status["is_watcher"] and (age_ms is None or age_ms > MAX_PLATFORM_AGE_MS):
                problems.append(f"{name} has not heard from the platform lately")
            if names := status.get("ambiguous_names"):
                problems.append(f"{name}: two documents contradict each other: {', '.join(names)}")
            for key, reason in status["refused_documents"].items():
                problems.append(f"{name} refused {key}: {reason}")
        return problems

    def _count_ready(self, data_centre: str) -> str:
        local = [status for status in self.statuses if status["data_centre"] == data_centre]
        return f"{sum(status['ready'] for status in local)} of {len(local)}"


def _round(value: float | None) -> int | None:
    return None if value is None else round(value)
