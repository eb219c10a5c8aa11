"""How two instances divide the upstreams that a subrequest may reach.

Load pattern: an index has a hundred shards, and a peer queries a group of them. Instances are slow
or frozen for a moment, so that the one that delegated the shards hears nothing from the peer and
queries them as well, while the peer hedges its late attempts. Each keeps to the route's number of
upstreams by itself, and together they reach more.

Neither can know what the other has sent, and no message tells it in time. So the delegated request
names one upstream of each shard. The instance that delegates may reach that one only; the peer may
reach it too, and one less than the route allows besides. Whatever is lost or late, together they
reach no more than the route allows.
"""

from collections.abc import Sequence
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class NotShared:
    """This instance alone sends the subrequest, or knows all attempts of the peer that sent it."""


@dataclass(frozen=True, slots=True)
class SentByPeer:
    """A peer may be sending the subrequest; this instance may only reach the named upstream."""

    upstream_id: str


@dataclass(frozen=True, slots=True)
class SentForPeer:
    """A peer has delegated the subrequest, and may reach the named upstream itself."""

    upstream_id: str


UpstreamShare = NotShared | SentByPeer | SentForPeer

NOT_SHARED = NotShared()


@dataclass(frozen=True, slots=True)
class AnyUpstream:
    """The next attempt may go to any upstream."""


@dataclass(frozen=True, slots=True)
class OnlyUpstream:
    """The next attempt may go to one upstream only."""

    upstream_id: str


@dataclass(frozen=True, slots=True)
class NoUpstream:
    """There may be no further attempt."""


AllowedUpstreams = AnyUpstream | OnlyUpstream | NoUpstream

ANY_UPSTREAM = AnyUpstream()
NO_UPSTREAM = NoUpstream()


def find_allowed(
    share: UpstreamShare, sent_to: Sequence[str | None], max_upstreams: int
) -> AllowedUpstreams:
    """Return which upstreams the next attempt of a subrequest may go to.

    ``sent_to`` has an entry for each known attempt that may have arrived, None for an upstream that
    is not known; ``max_upstreams`` is how many upstreams the route allows.
    """
    if len(sent_to) >= max_upstreams:
        return NO_UPSTREAM
    match share:
        case SentByPeer(upstream_id=upstream_id):
            return OnlyUpstream(upstream_id)
        case SentForPeer(upstream_id=upstream_id):
            others = sum(1 for name in sent_to if name != upstream_id)
            if others >= max_upstreams - 1:
                return OnlyUpstream(upstream_id)
    return ANY_UPSTREAM
