from collections import Counter, defaultdict

from geraniumlead_standins.history.check_result import CheckResult
from geraniumlead_standins.history.event import HistoryEvent
from geraniumlead_standins.history.history import History

REPLY_ALLOWANCE_NS = 60_000_000
"""A reply that reached an instance this long before the answer must be part of it: two
batching ticks and the longest one-way delay between regions, doubled."""


def check_true_coverage(history: History) -> CheckResult:
    """Check the coverage of every answer against published indexes and upstream runs.

    - All shards of the named version were asked, so a repartition hides none.
    - The shards with records and the missing ones are exactly these shards.
    - Each counted shard was run for this operation, at this version, before the answer, and
      all its records are included.
    - No shard is missing whose reply had arrived ``REPLY_ALLOWANCE_NS`` before the answer. A
      reply that arrived at another instance than the caller's counts only while no link lost
      messages and that instance kept running: what a planned stop loses is counted by the
      check of graceful stops. This part needs ``reply_arrived`` events, which only virtual
      runs record.

    Clock: the order of the events of one run.
    """
    result = CheckResult("true coverage")
    replies = _find_replies(history)
    for answer in history.get_events("answered"):
        sent = history.sent_by_request.get(answer.request_id)
        if answer.outcome not in ("whole", "partial") or sent is None:
            continue
        result.operations += 1
        for detail in (
            *_compare_with_index(history, sent, answer),
            *_compare_with_runs(history, sent, answer),
            *_find_undercount(history, replies, sent, answer),
        ):
            result.add(answer.at_ns, f"{answer.request_id}: {detail}")
    return result


def _compare_with_index(history: History, sent: HistoryEvent, answer: HistoryEvent) -> list[str]:
    published = history.shard_counts.get((sent.service, answer.index_version))
    if published is None:
        return [f"version {answer.index_version} was never published"]
    due = 1 if sent.one_shard else published
    found = {record.shard for record in answer.records}
    problems = []
    if answer.asked != due:
        problems.append(f"asked {answer.asked} of {due} shards")
    if answer.answered != len(found):
        problems.append(f"counts {answer.answered} shards, holds {len(found)}")
    if found & set(answer.missing):
        problems.append("a shard is both missing and answered")
    if len(found) + len(set(answer.missing)) != due:
        problems.append(f"{len(found)} answered and {len(answer.missing)} missing of {due}")
    if (answer.outcome == "whole") != (len(found) == due):
        problems.append(f"called {answer.outcome} with {len(found)} of {due}")
    return problems


def _compare_with_runs(history: History, sent: HistoryEvent, answer: HistoryEvent) -> list[str]:
    counts = Counter(record.shard for record in answer.records)
    due = defaultdict(set)
    for run in history.runs_by_token.get(sent.token, ()):
        if run.index_version == answer.index_version and run.at_ns <= answer.at_ns:
            due[run.shard].add(run.record_count)
    return [
        f"shard {shard} has {count} records, its upstreams gave {sorted(due[shard])}"
        for shard, count in counts.items()
        if count not in due[shard]
    ]


def _find_replies(history: History) -> dict[tuple[str, int, int], HistoryEvent]:
    first: dict[tuple[str, int, int], HistoryEvent] = {}
    for reply in history.get_events("reply_arrived"):
        first.setdefault((reply.request_id, reply.index_version, reply.shard), reply)
    return first


def _find_undercount(
    history: History,
    replies: dict[tuple[str, int, int], HistoryEvent],
    sent: HistoryEvent,
    answer: HistoryEvent,
) -> list[str]:
    problems = []
    for shard in answer.missing:
        reply = replies.get((answer.request_id, answer.index_version, shard))
        if reply is None or reply.at_ns + REPLY_ALLOWANCE_NS >= answer.at_ns:
            continue
        is_lost = reply.who != sent.instance and (
            history.reachability.had_message_loss(reply.at_ns, answer.at_ns)
            or history.reachability.was_unavailable(reply.who, reply.at_ns, answer.at_ns)
        )
        if not is_lost:
            problems.append(f"shard {shard} had replied and is called missing")
    return problems
