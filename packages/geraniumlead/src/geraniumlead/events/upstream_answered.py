from dataclasses import dataclass

from geraniumlead.upstreams.answers import UpstreamAnswer


@dataclass(slots=True, frozen=True)
class UpstreamAnswered:
    """A call from this instance to an upstream ended, successfully or not."""

    call_id: str
    answer: UpstreamAnswer
