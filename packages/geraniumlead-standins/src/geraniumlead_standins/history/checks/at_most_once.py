from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.history import History


def check_at_most_once(history: History) -> CheckResult:
    """Check that a booking runs at most once and that its outcomes are correct.

    A booking (a non-idempotent request) that began twice is a violation, over all instances,
    upstreams and attempts; attempts of one booking share its token. So is an answer that
    says the booking ran without a run before it, and a refusal as not run after an answer
    that says it ran. The outcome "unknown" is always correct; this check doesn't limit how
    often it is given. Clock: the one that all lines share. Allowance: none.
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
