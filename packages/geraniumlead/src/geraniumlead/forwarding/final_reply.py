"""Decide the reply that ends a request."""

from geraniumlead.forwarding.merge import merge_greatest
from geraniumlead.forwarding.open_request import OpenRequest
from geraniumlead.forwarding.replies import MergedReply, OwnReply, RelayedReply, Reply
from geraniumlead.routes import FanOut

BAD_GATEWAY = 502
UNAVAILABLE = 503
GATEWAY_TIMEOUT = 504


def decide_reply(open_request: OpenRequest, reason: str, retry_after_ms: float) -> Reply:
    """Return the reply to the caller of a request that ends now.

    503 states that nothing was executed, so it is returned only when that is certain. Otherwise
    the status is 504 after a timeout and 502 for any other reason; neither states what was
    executed.
    """
    match open_request.route.target:
        case FanOut(record_count=record_count) if open_request.has_enough:
            return _merge(open_request, record_count)
        case FanOut():
            pass
        case _:
            # A split route whose weights are all zero has no subrequest.
            for subrequest in open_request.subrequests:
                answer = subrequest.answer or subrequest.failed_answer
                if answer is not None:
                    return RelayedReply(answer)
    if not open_request.may_have_run:
        return OwnReply(UNAVAILABLE, reason, retry_after_ms)
    status = GATEWAY_TIMEOUT if reason == "timeout" else BAD_GATEWAY
    return OwnReply(status, reason)


def _merge(open_request: OpenRequest, record_count: int) -> MergedReply:
    answers = [
        subrequest.answer
        for subrequest in open_request.subrequests
        if subrequest.answer is not None
    ]
    signatures = tuple(answer.signature for answer in answers if answer.signature)
    records = merge_greatest((answer.body for answer in answers), record_count)
    return MergedReply(signatures, len(open_request.subrequests) - len(answers), records)
