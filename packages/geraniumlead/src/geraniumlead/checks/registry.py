"""Keep the checks of each kind of document."""

from collections.abc import Callable, Iterator

from geraniumlead.checks.message import CheckMessage

Check = Callable[..., Iterator[CheckMessage]]


class CheckRegistry:
    """Hold checks by the type that they look at."""

    __slots__ = ("_checks",)

    def __init__(self) -> None:
        self._checks: dict[type, list[Check]] = {}

    def register(self, subject: type) -> Callable[[Check], Check]:
        """Return a decorator that adds a check for a type."""

        def add(check: Check) -> Check:
            self._checks.setdefault(subject, []).append(check)
            return check

        return add

    def run(self, subject: object) -> list[CheckMessage]:
        """Return what all checks of the subject's type find."""
        checks = self._checks.get(type(subject), ())
        return [message for check in checks for message in check(subject)]


document_checks = CheckRegistry()
"""Checks of one document alone."""

set_checks = CheckRegistry()
"""Checks of documents together."""
