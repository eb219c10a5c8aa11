from dataclasses import dataclass


@dataclass(slots=True, frozen=True)
class UpstreamDisconnected:
    """The upstream closed or reset the last connection that this instance held to it.

    This can happen without a call in progress, as a restart also closes idle connections.
    """

    upstream_id: str
