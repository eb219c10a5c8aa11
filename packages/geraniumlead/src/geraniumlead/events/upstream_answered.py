"""Define the end of a call to an upstream."""

from dataclasses import dataclass

from geraniumlead.upstreams.answers import UpstreamAnswer


@dataclass(slots=True, frozen=True)
class UpstreamAnswered:
    """A call that this instance made ended, in whatever way."""

    call_id: str
    answer: UpstreamAnswer
