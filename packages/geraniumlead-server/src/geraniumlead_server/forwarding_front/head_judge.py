"""Say what becomes of a request once its head is known, before its body is read."""

from geraniumlead.caller_load import RefusalCause
from geraniumlead.forwarding import Forwarder
from geraniumlead.routes import FanOut
from geraniumlead_server.head_judgement import Acceptable, HeadJudgement, Refused
from geraniumlead_server.platform import BadRequest, read_target


def judge_head(forwarder: Forwarder, scope: dict) -> HeadJudgement:
    """Return to how many upstreams a request is sent, or why it is not.

    Only large requests and those whose body is still due are judged: the forwarder judges all of
    them once they are whole.
    """
    target = read_target(scope)
    if isinstance(target, BadRequest):
        return Refused(target.status, RefusalCause.MALFORMED)
    refusal = forwarder.find_refusal(target.host, target.path)
    if refusal is not None:
        return Refused(refusal.status, RefusalCause.NOT_ROUTED, refusal.retry_after_ms)
    route = forwarder.published.configuration.routes.find(target.host, target.path)
    match route.target:
        case FanOut(shards=shards):
            return Acceptable(len(shards))
    return Acceptable()
