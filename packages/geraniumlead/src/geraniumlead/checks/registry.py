from collections.abc import Callable, Iterator

from geraniumlead.checks.message import CheckMessage

Check = Callable[..., Iterator[CheckMessage]]


class CheckRegistry:
    """The checks of each type of document."""

    __slots__ = ("_checks",)

    def __init__(self) -> None:
        self._checks: dict[type, list[Check]] = {}

    def register(self, subject: type) -> Callable[[Check], Check]:
        """Return a decorator that registers a check for a type."""

        def add(check: Check) -> Check:
            self._checks.setdefault(subject, []).append(check)
            return check

        return add

    def run(self, subject: object) -> list[CheckMessage]:
        """Return the findings of all checks that are registered for the subject's type."""
        checks = self._checks.get(type(subject), ())
        return [message for check in checks for message in check(subject)]


document_checks = CheckRegistry()
"""Checks of a single document."""

set_checks = CheckRegistry()
"""Checks of documents together."""
