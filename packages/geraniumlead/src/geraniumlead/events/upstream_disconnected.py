"""Define the loss of the connections to an upstream."""

from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class UpstreamDisconnected:
    """The upstream closed the last connection that this instance held to it, or reset it.

    No call has to be under way: a restart closes idle connections too.
    """

    upstream_id: str
