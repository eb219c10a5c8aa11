from geraniumlead.forwarding.actions import LogDecision
from geraniumlead.forwarding.extra_attempt_allowance import ExtraAttemptAllowance
from geraniumlead.forwarding.extra_attempt_budget import ExtraAttemptBudget
from geraniumlead.forwarding.extra_attempt_cause import ExtraAttemptCause
from geraniumlead.forwarding.extra_attempt_log import ExtraAttemptLog, build_line
from geraniumlead.settings.forwarding_settings import ForwardingSettings

AMPLE_SHARE = 0.5
"""Unused part of the window's budget above which late attempts are hedged early."""

RESERVE_SHARE = 0.2
"""Part of the window's budget that is reserved for retries of failed attempts: a late attempt may
still be answered, a failed one can't."""


class ExtraAttemptBudgets:
    """The budgets of extra attempts of all services."""

    __slots__ = ("_allowance", "_budgets", "_log", "_settings")

    def __init__(self, settings: ForwardingSettings, started_ms: float) -> None:
        self._settings = settings
        self._allowance = ExtraAttemptAllowance(settings, started_ms)
        self._budgets: dict[str, ExtraAttemptBudget] = {}
        self._log = ExtraAttemptLog()

    def set_instances(self, count: int, is_count_known: bool) -> None:
        """Divide the fixed slack by a new number of instances."""
        self._allowance.set_instances(count, is_count_known)

    def apply_settings(self, settings: ForwardingSettings, now_ms: float) -> None:
        """Apply changed settings; what was sent in the window stays counted.

        Failure: the settings file changes with each machine that starts, in the whole fleet at
        once, and each change gave all instances their whole budgets anew.
        """
        self._settings = settings
        self._allowance.apply_settings(settings, now_ms)

    def record_first(self, service: str, now_ms: float) -> None:
        """Count a first attempt at a service."""
        self._budget_of(service).record_first(now_ms)

    def may_retry(self, service: str, now_ms: float) -> bool:
        """Return whether a failed attempt may be retried."""
        is_allowed = self._budget_of(service).remaining(now_ms) >= 1.0
        return self._log_denied(is_allowed, service, now_ms)

    def may_hedge(self, service: str, now_ms: float) -> bool:
        """Return whether a late attempt may be hedged."""
        budget = self._budget_of(service)
        is_allowed = (
            budget.remaining(now_ms) >= 1.0 and budget.remaining_share(now_ms) >= RESERVE_SHARE
        )
        return self._log_denied(is_allowed, service, now_ms)

    def has_ample_budget(self, service: str, now_ms: float) -> bool:
        """Return whether attempts that are only slightly late may be hedged."""
        budget = self._budget_of(service)
        return budget.remaining(now_ms) >= 1.0 and budget.remaining_share(now_ms) >= AMPLE_SHARE

    def record_extra(self, service: str, cause: ExtraAttemptCause, now_ms: float) -> None:
        """Count an extra attempt at a service."""
        self._budget_of(service).record_extra(now_ms)
        self._log.record_sent(service, cause, now_ms)

    def pop_log_lines(self, now_ms: float) -> list[LogDecision]:
        """Return the line about the latest extra attempts, if one is due."""
        if not self._log.is_due(now_ms):
            return []
        counts = self._log.pop_counts()
        left = {service: self._budget_of(service).remaining(now_ms) for service in counts}
        settings = self._settings
        fields = {
            "instances": self._allowance.instances,
            "is_starting": not self._allowance.is_settled(now_ms),
            "allowed_share": settings.extra_share,
            "allowed_slack": settings.extra_slack,
            "window_ms": settings.extra_window_ms,
        }
        return [build_line(counts, left, fields)]

    def _log_denied(self, is_allowed: bool, service: str, now_ms: float) -> bool:
        if not is_allowed:
            self._log.record_denied(service, now_ms)
        return is_allowed

    def _budget_of(self, service: str) -> ExtraAttemptBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = self._budgets[service] = ExtraAttemptBudget(service, self._allowance)
        return budget
