"""Hold the state of one request that is being served."""

from dataclasses import dataclass, field

from geraniumlead.fleet import UpstreamRecord
from geraniumlead.forwarding.forwarded_request import ForwardedRequest
from geraniumlead.forwarding.results import Completed
from geraniumlead.routes import FanOut, PublishedConfiguration, Route

MOST_NOTES = 40
"""Steps of one request that are logged: two for each shard of today's indexes."""


@dataclass(slots=True)
class Attempt:
    """One request that is out at an upstream.

    ``way_ms`` is the time of its way there and back, ``second_way_ms`` that of the next best.
    """

    attempt_id: int
    subrequest: "Subrequest"
    upstream: UpstreamRecord
    sent_ms: float
    relative_rtt_ms: float
    second_relative_rtt_ms: float
    is_overdue: bool = False


@dataclass(slots=True)
class Subrequest:
    """The part of a request that goes to one service: all of it, or one shard.

    ``sent_to`` holds an entry for each sending that may have arrived, also those of a peer;
    None stands for one that the peer did not name. ``is_delegated`` says that a peer asks it.
    """

    request: "OpenRequest"
    service: str
    open_attempts: dict[int, Attempt] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    sent_to: list[str | None] = field(default_factory=list)
    may_have_run: bool = False
    is_waiting: bool = False
    is_delegated: bool = False
    is_reported: bool = False
    answer: Completed | None = None
    failure: str | None = None
    failed_answer: Completed | None = None

    @property
    def is_settled(self) -> bool:
        """Return whether nothing more will come of it."""
        return self.answer is not None or self.failure is not None


@dataclass(slots=True)
class OpenRequest:
    """A request on its way. Its legs all belong to the configuration version it began with.

    ``goal_ms`` is when the reply should leave; the caller has it in time up to ``margin_ms``
    later. ``view_age_ms`` is how old what is known of upstreams and routes was at the start.
    ``is_shared`` says that the peer it came from asks the shards as well.
    """

    request: ForwardedRequest
    route: Route
    configuration: PublishedConfiguration
    goal_ms: float
    end_ms: float
    margin_ms: float = 0.0
    view_age_ms: float | None = None
    subrequests: list[Subrequest] = field(default_factory=list)
    check_ms: float = float("inf")
    settled: int = 0
    answered: int = 0
    extra_attempts: int = 0
    delegations: set[int] = field(default_factory=set)
    is_reported: bool = False
    is_shared: bool = False
    notes: list[dict] = field(default_factory=list)

    @property
    def is_fan_out(self) -> bool:
        """Return whether it goes to all shards of an index."""
        return isinstance(self.route.target, FanOut)

    @property
    def least_answers(self) -> int:
        """Return how many legs have to be answered for a success."""
        if self.request.is_delegated:
            # Whether it is enough is for the peer to say, which has the other shards.
            return 0
        match self.route.target:
            case FanOut(shards=shards, min_share=least_share):
                return max(1, least_count(len(shards), least_share))
        return 1

    @property
    def has_enough(self) -> bool:
        """Return whether it may be answered with what is in."""
        return self.answered >= self.least_answers

    @property
    def is_hopeless(self) -> bool:
        """Return whether too many legs failed."""
        possible = len(self.subrequests) - (self.settled - self.answered)
        return possible < self.least_answers

    @property
    def first_failure(self) -> str:
        """Return why the first of the failed legs failed."""
        return next(
            (leg.failure for leg in self.subrequests if leg.failure is not None), "unanswered"
        )

    def settle_answered(self, leg: Subrequest, answer: Completed) -> None:
        """Take over a leg's answer, in place of any that it has."""
        if not leg.is_settled:
            self.settled += 1
        if leg.answer is None:
            self.answered += 1
        leg.answer, leg.failure = answer, None

    def settle_failed(self, leg: Subrequest, why: str, now_ms: float) -> None:
        """Give a leg up."""
        leg.failure = why
        self.settled += 1
        self.note(leg, None, why, now_ms)

    def note(self, leg: Subrequest, upstream_id: str | None, what: str, now_ms: float) -> None:
        """Remember a step that was out of the ordinary, for the log."""
        if len(self.notes) >= MOST_NOTES:
            return
        at_ms = round(now_ms - self.request.arrived_ms, 1)
        self.notes.append(
            {"at_ms": at_ms, "service": leg.service, "upstream": upstream_id, "what": what}
        )

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have run any part of it."""
        return any(leg.may_have_run for leg in self.subrequests)


def least_count(shards: int, least_share: float) -> int:
    """Return the smallest number of shards whose share is not below ``least_share``."""
    count = int(shards * least_share)
    while count / shards < least_share:
        count += 1
    return count
