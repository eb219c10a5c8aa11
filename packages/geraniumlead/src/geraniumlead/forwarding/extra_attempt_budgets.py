from geraniumlead.forwarding.extra_attempt_budget import ExtraAttemptBudget
from geraniumlead.settings.forwarding_settings import ForwardingSettings

SAFE_SLACK_PART = 0.8
"""Part of the fixed slack that is divided among the instances. While instances start or stop, their
counts of the live instances may differ by one or two."""

AMPLE_SHARE = 0.5
"""Unused part of the window's budget above which late attempts are hedged early."""

RESERVE_SHARE = 0.2
"""Part of the window's budget that is reserved for retries of failed attempts: a late attempt may
still be answered, a failed one can't."""


class ExtraAttemptBudgets:
    """The budgets of extra attempts of all services."""

    __slots__ = ("_budgets", "_instances", "_settings")

    def __init__(self, settings: ForwardingSettings) -> None:
        self._settings = settings
        self._instances = 1
        self._budgets: dict[str, ExtraAttemptBudget] = {}

    def set_instances(self, count: int) -> None:
        """Divide the fixed slack by a new number of instances."""
        self._instances = max(1, count)
        for budget in self._budgets.values():
            budget.set_slack(self._slack())

    def apply_settings(self, settings: ForwardingSettings) -> None:
        """Reset all budgets if the settings have changed."""
        if settings != self._settings:
            self._settings = settings
            self._budgets.clear()

    def record_first(self, service: str, now_ms: float) -> None:
        """Count a first attempt at a service."""
        self._budget_of(service).record_first(now_ms)

    def may_retry(self, service: str, now_ms: float) -> bool:
        """Return whether a failed attempt may be retried."""
        return self._budget_of(service).remaining(now_ms) >= 1.0

    def may_hedge(self, service: str, now_ms: float) -> bool:
        """Return whether a late attempt may be hedged."""
        budget = self._budget_of(service)
        return budget.remaining(now_ms) >= 1.0 and budget.remaining_share(now_ms) >= RESERVE_SHARE

    def has_ample_budget(self, service: str, now_ms: float) -> bool:
        """Return whether attempts that are only slightly late may be hedged."""
        budget = self._budget_of(service)
        return budget.remaining(now_ms) >= 1.0 and budget.remaining_share(now_ms) >= AMPLE_SHARE

    def record_extra(self, service: str, now_ms: float) -> None:
        """Count an extra attempt at a service."""
        self._budget_of(service).record_extra(now_ms)

    def _budget_of(self, service: str) -> ExtraAttemptBudget:
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
