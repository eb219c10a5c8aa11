"""The state of a request that is being served."""

from dataclasses import dataclass, field

from geraniumlead.crashes import Crash
from geraniumlead.forwarding.deadline import Deadline
from geraniumlead.forwarding.forwarded_request import (
    ForwardedRequest,
    compute_part_fingerprint,
)
from geraniumlead.forwarding.results import Completed
from geraniumlead.forwarding.upstream_share import NOT_SHARED, UpstreamShare
from geraniumlead.published_upstreams import UpstreamRecord
from geraniumlead.routes import FanOut, PublishedConfiguration, Route

MAX_STEPS = 40
"""Maximum number of logged steps of a request: two for each shard of an index with twenty."""


@dataclass(slots=True)
class Attempt:
    """A subrequest that was sent to one upstream, until its result is known.

    ``relative_rtt_ms`` is the relative RTT to the upstream's data centre and
    ``second_relative_rtt_ms`` that to the nearest of the other upstreams.
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
    """The part of a request that goes to one service: the whole request, or one shard.

    ``sent_to`` holds an entry for each attempt that may have arrived, including the attempts of a
    peer; None stands for an attempt whose upstream the peer did not name. ``is_delegated`` is set
    while a peer is responsible for the subrequest, and ``is_held`` while it waits for an answer of
    another one, since the request may crash upstreams. ``share`` is which upstreams another
    instance may reach for it, too. ``crashes`` holds the upstreams that were lost under it.
    """

    request: "OpenRequest"
    service: str
    open_attempts: dict[int, Attempt] = field(default_factory=dict)
    tried: set[str] = field(default_factory=set)
    sent_to: list[str | None] = field(default_factory=list)
    may_have_run: bool = False
    is_waiting: bool = False
    is_delegated: bool = False
    is_held: bool = False
    is_reported: bool = False
    share: UpstreamShare = NOT_SHARED
    crashes: list[Crash] = field(default_factory=list)
    answer: Completed | None = None
    failure: str | None = None
    failed_answer: Completed | None = None

    @property
    def part_fingerprint(self) -> int:
        """Return a hash that is the same for each repeat of this part of the query."""
        return compute_part_fingerprint(self.request.request.fingerprint, self.service)

    @property
    def is_settled(self) -> bool:
        """Return whether the subrequest has been answered or has failed."""
        return self.answer is not None or self.failure is not None


@dataclass(slots=True)
class OpenRequest:
    """A request that is being served with the configuration version it started with.

    ``goal_ms`` is when the reply should be sent; up to ``margin_ms`` later it still reaches the
    caller in time. ``view_age_ms`` is how old the data about upstreams and routes was at the
    start. ``is_hedged`` is set if the peer that delegated the request queries its shards as well.
    """

    request: ForwardedRequest
    route: Route
    configuration: PublishedConfiguration
    goal_ms: float
    deadline: Deadline
    margin_ms: float = 0.0
    view_age_ms: float | None = None
    subrequests: list[Subrequest] = field(default_factory=list)
    next_check_ms: float = float("inf")
    settled: int = 0
    answered: int = 0
    extra_attempts: int = 0
    delegations: set[int] = field(default_factory=set)
    held: list[Subrequest] = field(default_factory=list)
    is_reported: bool = False
    is_hedged: bool = False
    steps: list[dict] = field(default_factory=list)

    @property
    def end_ms(self) -> float:
        """Return until when the request is worked on."""
        return self.deadline.end_ms

    @property
    def is_fan_out(self) -> bool:
        """Return whether the request goes to all shards of an index."""
        return isinstance(self.route.target, FanOut)

    @property
    def min_answers(self) -> int:
        """Return how many subrequests have to be answered for a success."""
        if self.request.is_delegated:
            # The peer that has the other shards decides whether the answers are enough.
            return 0
        match self.route.target:
            case FanOut(shards=shards, min_share=min_share):
                return max(1, min_shard_count(len(shards), min_share))
        return 1

    @property
    def has_enough(self) -> bool:
        """Return whether enough subrequests are answered for a reply."""
        return self.answered >= self.min_answers

    @property
    def cannot_succeed(self) -> bool:
        """Return whether too many subrequests have failed for a success."""
        possible = len(self.subrequests) - (self.settled - self.answered)
        return possible < self.min_answers

    @property
    def first_failure(self) -> str:
        """Return why the first of the failed subrequests failed."""
        return next(
            (
                subrequest.failure
                for subrequest in self.subrequests
                if subrequest.failure is not None
            ),
            "unanswered",
        )

    def settle_answered(self, subrequest: Subrequest, answer: Completed) -> None:
        """Set or replace the answer of a subrequest."""
        if not subrequest.is_settled:
            self.settled += 1
        if subrequest.answer is None:
            self.answered += 1
        subrequest.answer, subrequest.failure = answer, None

    def settle_failed(self, subrequest: Subrequest, reason: str, now_ms: float) -> None:
        """Mark a subrequest as failed."""
        subrequest.failure = reason
        self.settled += 1
        self.record_step(subrequest, None, reason, now_ms)

    def record_step(
        self, subrequest: Subrequest, upstream_id: str | None, what: str, now_ms: float
    ) -> None:
        """Record an unusual step for the log line of the request."""
        if len(self.steps) >= MAX_STEPS:
            return
        at_ms = round(now_ms - self.request.arrived_ms, 1)
        self.steps.append(
            {"at_ms": at_ms, "service": subrequest.service, "upstream": upstream_id, "what": what}
        )

    @property
    def is_awaiting_answers(self) -> bool:
        """Return whether an upstream or a peer may still answer any subrequest."""
        return bool(self.delegations) or any(
            subrequest.open_attempts or subrequest.is_waiting for subrequest in self.subrequests
        )

    def hold(self, subrequest: Subrequest) -> None:
        """Let a subrequest wait for the answer of another one."""
        if not subrequest.is_held:
            subrequest.is_held = True
            self.held.append(subrequest)

    def pop_held(self) -> list[Subrequest]:
        """Return the subrequests that wait for the answer of another one; they wait no longer."""
        held, self.held = self.held, []
        for subrequest in held:
            subrequest.is_held = False
        return held

    def release(self) -> None:
        """Drop what only an open request needs.

        Failure: subrequests refer to their request, so it stays in memory with its body and its
        answers until the garbage collector finds the cycle, hundreds of megabytes later.
        """
        self.subrequests = []
        self.held = []

    @property
    def may_have_run(self) -> bool:
        """Return whether any upstream may have executed any subrequest."""
        return any(subrequest.may_have_run for subrequest in self.subrequests)


def min_shard_count(shards: int, min_share: float) -> int:
    """Return the smallest number of shards that is at least ``min_share`` of all."""
    count = int(shards * min_share)
    while count / shards < min_share:
        count += 1
    return count
