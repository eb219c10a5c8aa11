from geraniumlead.coordination.open_query import OpenQuery
from geraniumlead.requests.outcomes import Answered, Failed, NotRun, Outcome, Unknown
from geraniumlead.requests.reasons import RefusalReason

SHED_RETRY_AFTER_MS = 200.0


def decide_outcome(query: OpenQuery) -> Outcome:
    """Return the outcome of a query from the state of its shards.

    A non-idempotent request is reported as "not run" only if it has no open call and no shard
    ran its part.
    """
    coverage = query.coverage()
    if not query.traffic_class.idempotent and not coverage.is_whole:
        if any(shard.call_ids for shard in query.shards):
            return Unknown("the upstream did not answer in time")
        if coverage.answered_shards:
            # Some shards refused the request, but others ran their part of it.
            return Unknown("only some of the shards ran the request")
        return NotRun(RefusalReason.UPSTREAM_SHED, SHED_RETRY_AFTER_MS)
    if coverage.answered_shards == 0 or coverage.share < query.request.least_coverage:
        return Failed("too few shards answered", coverage)
    return Answered(query.plan.index_version, coverage, query.records())
