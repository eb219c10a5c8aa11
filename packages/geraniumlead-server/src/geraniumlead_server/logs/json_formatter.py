"""Format log records as one JSON object per line."""

import logging
import sys
from datetime import UTC, datetime

from msgspec.json import encode

from geraniumlead.settings import InstanceSettings, PlatformSettings


class JsonFormatter(logging.Formatter):
    """Formats the time, level, event and fields of a record, with the instance and data centre."""

    def __init__(self, instance_id: str, data_centre: str) -> None:
        super().__init__()
        self._origin = {"instance": instance_id, "data_centre": data_centre}

    def format(self, record: logging.LogRecord) -> str:
        """Return one line of JSON without the line break."""
        line = {
            "time": datetime.fromtimestamp(record.created, UTC).isoformat(timespec="milliseconds"),
            "level": record.levelname.lower(),
            "event": record.getMessage(),
            **self._origin,
            **getattr(record, "fields", {}),
        }
        if record.exc_info:
            line["exception"] = self.formatException(record.exc_info)
        return encode(line).decode()


def configure_logging(
    settings: InstanceSettings | PlatformSettings, handler: logging.Handler | None = None
) -> None:
    """Send all log records as JSON lines to a handler, or to standard error."""
    handler = handler or logging.StreamHandler(sys.stderr)
    handler.setFormatter(JsonFormatter(settings.instance_id, settings.data_centre))
    logging.basicConfig(level=settings.log_level.upper(), handlers=[handler], force=True)
    # The access log would repeat the request log, which has more fields.
    logging.getLogger("uvicorn.access").disabled = True
