"""Hold the budget of extra requests of every service."""

from geraniumlead.forwarding.extra_attempt_budget import ExtraAttemptBudget
from geraniumlead.settings.forwarding_settings import ForwardingSettings

SAFE_SLACK_PART = 0.8
"""Part of the fixed slack that is divided: views of how many instances live may differ by
one or two while some start or end."""

PLENTY_SHARE = 0.5
"""Budget left (of the window's) above which late calls are repeated early."""

RESERVE_SHARE = 0.2
"""Budget left (of the window's) that is kept for attempts that have failed: a late one may
still be answered, a failed one not."""


class ExtraAttemptBudgets:
    """Count first and extra requests by service."""

    __slots__ = ("_budgets", "_instances", "_settings")

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._instances = 1
        self._budgets: dict[str, ExtraAttemptBudget] = {}

    def set_instances(self, count: int) -> None:
        """Divide the slack anew."""
        self._instances = max(1, count)
        for budget in self._budgets.values():
            budget.set_slack(self._slack())

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Begin anew with changed figures."""
        if settings != self._settings:
            self._settings = settings
            self._budgets.clear()

    def record_first(self, service: str, now_ms: float) -> None:
        """Count a request that goes to a service for the first time."""
        self._of(service).record_first(now_ms)

    def may_repeat_failed(self, service: str, now_ms: float) -> bool:
        """Return whether a failed request may be sent again."""
        return self._of(service).left(now_ms) >= 1.0

    def may_repeat_late(self, service: str, now_ms: float) -> bool:
        """Return whether a late request may be sent again."""
        budget = self._of(service)
        return budget.left(now_ms) >= 1.0 and budget.left_share(now_ms) >= RESERVE_SHARE

    def has_plenty(self, service: str, now_ms: float) -> bool:
        """Return whether requests that are only a little late may be sent again."""
        budget = self._of(service)
        return budget.left(now_ms) >= 1.0 and budget.left_share(now_ms) >= PLENTY_SHARE

    def record_extra(self, service: str, now_ms: float) -> None:
        """Count a request that is sent again."""
        self._of(service).record_extra(now_ms)

    def _of(self, service: str) -> ExtraAttemptBudget:
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._settings
            budget = ExtraAttemptBudget(
                settings.extra_share, self._slack(), settings.extra_window_ms
            )
            self._budgets[service] = budget
        return budget

    def _slack(self) -> float:
        return self._settings.extra_slack * SAFE_SLACK_PART / self._instances
