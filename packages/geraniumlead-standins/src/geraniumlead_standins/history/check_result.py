from dataclasses import dataclass, field

from geraniumlead_standins.history.violation import Violation


@dataclass(slots=True)
class CheckResult:
    """The number of operations that one check examined in a history, and its violations.

    With 0 operations, the history does not show that the invariant holds.
    """

    invariant: str
    operations: int = 0
    violations: list[Violation] = field(default_factory=list)

    def add(self, at_ns: int, detail: str) -> None:
        """Add a violation of this invariant."""
        self.violations.append(Violation(self.invariant, at_ns, detail))
