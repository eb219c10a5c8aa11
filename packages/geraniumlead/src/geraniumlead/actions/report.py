from dataclasses import dataclass, field


@dataclass(slots=True, frozen=True)
class Report:
    """Write a log line; ``fields`` are plain JSON values."""

    name: str
    fields: dict = field(default_factory=dict)
    level: str = "info"
