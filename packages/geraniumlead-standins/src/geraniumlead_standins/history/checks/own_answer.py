from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.event import HistoryEvent
from geraniumlead_standins.history.history import History

ANSWER_ALLOWANCE_NS = 500_000_000
"""An answer may arrive this long after the request's deadline: the network delay to the
instance and back, a batching tick, and scheduling delays on a busy machine."""


def check_own_answer(history: History) -> CheckResult:
    """Check that each caller receives exactly one answer to its own request, in time.

    No answer, two answers, a late answer and records of another request are violations.
    Every record echoes the token of its query. A request needs no answer if its instance was
    killed or frozen while it waited, or if its caller disconnected. Clock: the caller's.
    """
    result = CheckResult("own answer")
    dropped = {event.request_id for event in history.get_events("dropped")}
    for request_id, sent in history.sent_by_request.items():
        due_ns = sent.at_ns + int(sent.deadline_ms * 1_000_000) + ANSWER_ALLOWANCE_NS
        if due_ns > history.end_ns:
            continue
        result.operations += 1
        answers = history.answers_by_request.get(request_id, [])
        for answer in answers:
            for detail in _find_foreign_records(sent, answer):
                result.add(answer.at_ns, f"{request_id}: {detail}")
        if len(answers) > 1:
            result.add(answers[1].at_ns, f"{request_id}: {len(answers)} answers")
        is_excused = request_id in dropped or history.reachability.was_unavailable(
            sent.instance, sent.at_ns, due_ns
        )
        in_time = [
            answer for answer in answers if answer.outcome != "lost" and answer.at_ns <= due_ns
        ]
        if not in_time and not is_excused:
            result.add(due_ns, f"{request_id}: no answer of {sent.instance} in time")
    return result


def _find_foreign_records(sent: HistoryEvent, answer: HistoryEvent) -> list[str]:
    foreign_tokens = {record.token for record in answer.records} - {sent.token}
    return [f"holds records of {token!r}" for token in sorted(foreign_tokens)]
