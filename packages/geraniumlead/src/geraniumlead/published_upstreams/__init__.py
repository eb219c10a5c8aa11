"""The known upstreams, as they and the operators publish them."""

from geraniumlead.published_upstreams.upstream_record import UpstreamRecord
from geraniumlead.published_upstreams.upstream_view import LAPSE_HOLD_MS, UpstreamView

__all__ = ["LAPSE_HOLD_MS", "UpstreamRecord", "UpstreamView"]
