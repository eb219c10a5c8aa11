"""The known upstreams, as they and the operators publish them."""

from geraniumlead.published_upstreams.upstream_record import UpstreamRecord
from geraniumlead.published_upstreams.upstream_view import UpstreamView

__all__ = ["UpstreamRecord", "UpstreamView"]
