from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.event import HistoryEvent
from geraniumlead_standins.history.history import History

BALANCER_NOTICE_NS = 1_400_000_000
"""A balancer that polls readiness once a second may send requests for this long after a
stop was requested."""


def check_graceful_stop(history: History) -> CheckResult:
    """Check that a planned stop of an instance loses no request.

    Requests that were sent to the instance until ``BALANCER_NOTICE_NS`` after the stop was
    requested need an outcome before the process ends. Requests of other instances count as
    well: a reply that reached the stopping instance must be in their answers. A process that
    was killed or frozen during its stop did not stop as planned and is not checked. Clock:
    the one that all lines share.
    """
    result = CheckResult("graceful stop")
    dropped = {event.request_id for event in history.get_events("dropped")}
    for asked in history.get_events("stop_asked"):
        stopped = _find_end(history, asked)
        if stopped is None or stopped.event != "process_stopped":
            continue
        result.operations += 1
        if stopped.cut_off:
            result.add(stopped.at_ns, f"{asked.instance}: ended with {stopped.cut_off} open")
        for sent in history.get_events("sent"):
            is_counted = (
                sent.instance == asked.instance
                and sent.request_id not in dropped
                and sent.at_ns <= asked.at_ns + BALANCER_NOTICE_NS
            )
            answers = history.answers_by_request.get(sent.request_id, [])
            if is_counted and any(
                answer.outcome == "lost" and asked.at_ns <= answer.at_ns for answer in answers
            ):
                result.add(stopped.at_ns, f"{sent.request_id}: cut off by {asked.instance}")
        for detail in _find_dropped_replies(history, asked, stopped):
            result.add(stopped.at_ns, detail)
    return result


def _find_dropped_replies(
    history: History, asked: HistoryEvent, stopped: HistoryEvent
) -> list[str]:
    if history.reachability.had_message_loss(asked.at_ns, stopped.at_ns):
        return []
    problems = []
    for reply in history.get_events("reply_arrived"):
        if reply.who != asked.instance or not asked.at_ns <= reply.at_ns <= stopped.at_ns:
            continue
        for answer in history.answers_by_request.get(reply.request_id, ()):
            is_due = reply.shard in answer.missing and answer.at_ns > stopped.at_ns
            if is_due and answer.index_version == reply.index_version:
                problems.append(f"{reply.request_id}: shard {reply.shard} lost by {reply.who}")
    return problems


def _find_end(history: History, asked: HistoryEvent) -> HistoryEvent | None:
    for event in history.get_events("process_stopped", "process_killed", "frozen"):
        if event.instance == asked.instance and event.at_ns >= asked.at_ns:
            return event
    return None
