"""Check that a non-idempotent request runs at most once, and that its outcomes are true."""

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.history import History


def check_at_most_once(history: History) -> CheckResult:
    """Look for bookings that began twice, over all instances, upstreams and attempts.

    Attempts of one booking share its token. An answer that says it ran needs a run before
    it; a refusal after an answer that says it ran is a lie too. "Unknown" is always true;
    how often it is said is for the table. Clock: the one that all lines share. Allowance:
    none.
    """
    result = CheckResult("at most once")
    bookings = {sent.token for sent in history.get_events("sent") if not sent.idempotent}
    for token in sorted(bookings):
        result.operations += 1
        starts = history.starts_by_token.get(token, [])
        if len(starts) > 1:
            upstream_ids = ", ".join(start.who for start in starts)
            result.add(starts[1].at_ns, f"{token}: began {len(starts)} times, on {upstream_ids}")
    ran_by: dict[str, int] = {}
    for answer in history.get_events("answered"):
        sent = history.sent_by_request.get(answer.request_id)
        if sent is None or sent.idempotent:
            continue
        if answer.outcome == "whole":
            runs = history.runs_by_token.get(sent.token, [])
            if not any(run.at_ns <= answer.at_ns for run in runs):
                result.add(answer.at_ns, f"{answer.request_id}: said to have run, ran nowhere")
            ran_by.setdefault(sent.token, answer.at_ns)
        elif answer.outcome == "not_run" and sent.token in ran_by:
            result.add(answer.at_ns, f"{answer.request_id}: refused after it was said to have run")
    return result
