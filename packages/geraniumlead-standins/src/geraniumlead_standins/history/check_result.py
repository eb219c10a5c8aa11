"""Define what a check found in one history."""

from dataclasses import dataclass, field

from geraniumlead_standins.history.violation import Violation


@dataclass(slots=True)
class CheckResult:
    """Count the operations that were held against the point, and list what broke it.

    A point that had no operation to check has not been shown to hold.
    """

    invariant: str
    operations: int = 0
    violations: list[Violation] = field(default_factory=list)

    def add(self, at_ns: int, detail: str) -> None:
        """Note a violation."""
        self.violations.append(Violation(self.invariant, at_ns, detail))
