"""Define the settings file of one instance on the users' platform."""

from typing import Annotated

from msgspec import Meta, Struct
from msgspec.json import decode

from geraniumlead.caller_load import CallerLimits
from geraniumlead.settings.forwarding_settings import ForwardingSettings
from geraniumlead.settings.listen import Address

BYTES_PER_MB = 1024 * 1024

Milliseconds = Annotated[float, Meta(ge=0, le=3_600_000)]
Share = Annotated[float, Meta(ge=0, le=1)]


class PlatformListenSettings(Struct, frozen=True, kw_only=True):
    """The addresses for callers, the load balancer's readiness check, peers and metrics."""

    callers: Address
    ready: Address
    peers: Address
    metrics: Address


class PlatformBoundSettings(Struct, frozen=True, kw_only=True):
    """The limits that the platform and its operators set for this instance.

    ``extra_share`` and ``extra_slack`` limit the requests beyond the first attempts that all
    instances send to a service in ``extra_window_s``. ``cold_factor`` and ``cold_slack`` limit
    what all instances together send to a cold upstream per second: its own rate times the
    factor, plus the slack. ``answer_bytes`` limits one answer of an upstream, with its head, and
    ``open_answer_bytes`` all answers that this instance receives at the same time.
    ``memory_mb`` is the memory of the machine in MiB, and ``caller_share`` the share of it that
    callers' requests and unread answers may take.
    """

    drain_ms: Milliseconds
    configuration_ms: Milliseconds
    evacuation_ms: Milliseconds
    stop_s: Annotated[float, Meta(gt=0, le=600)]
    extra_share: Share
    extra_slack: Annotated[float, Meta(ge=0)]
    extra_window_s: Annotated[float, Meta(gt=0, le=600)]
    cold_factor: Annotated[float, Meta(ge=0)] = 1.0
    cold_slack: Annotated[float, Meta(ge=0)] = 0.0
    answer_bytes: Annotated[int, Meta(ge=65_536, le=1 << 30)] = 4 * 1024 * 1024
    open_answer_bytes: Annotated[int, Meta(ge=65_536, le=1 << 30)] = 16 * 1024 * 1024
    memory_mb: Annotated[float, Meta(ge=64, le=1 << 20)] = 300.0
    caller_share: Annotated[float, Meta(gt=0, le=1)] = 0.2

    def __post_init__(self) -> None:
        """Raise ValueError if the limits contradict each other."""
        if self.open_answer_bytes < self.answer_bytes:
            raise ValueError(
                f"open_answer_bytes ({self.open_answer_bytes}) must be at least answer_bytes "
                f"({self.answer_bytes}): the longest answer has to fit"
            )

    def to_caller_limits(self) -> CallerLimits:
        """Return the limits of what all callers' connections take together."""
        return CallerLimits(held_bytes=int(self.caller_share * self.memory_mb * BYTES_PER_MB))


class PlatformSettings(Struct, frozen=True, kw_only=True):
    """The identity of an instance, its listening addresses, and the platform's store.

    ``data_centres`` maps each data centre to its region. Unknown fields are ignored, because
    the platform sometimes adds fields.
    """

    instance_id: Annotated[str, Meta(min_length=1, max_length=200)]
    data_centre: Annotated[str, Meta(min_length=1, max_length=200)]
    data_centres: dict[str, str]
    listen: PlatformListenSettings
    store: Address
    seeds: list[Address] = []
    peer_public_key: str = ""
    peer_secret_key: str = ""
    bounds: PlatformBoundSettings
    log_level: str = "info"
    seed: int | None = None

    @classmethod
    def from_json(cls, text: bytes) -> "PlatformSettings":
        """Decode a settings file. Raise msgspec.DecodeError or ValidationError if it is invalid."""
        return decode(text, type=cls)

    def to_forwarding_settings(self) -> ForwardingSettings:
        """Return the settings of the forwarder."""
        bounds = self.bounds
        return ForwardingSettings(
            instance_id=self.instance_id,
            data_centre=self.data_centre,
            address=self.listen.peers,
            seeds=tuple(self.seeds),
            regions=self.data_centres,
            extra_share=bounds.extra_share,
            extra_slack=bounds.extra_slack,
            extra_window_ms=bounds.extra_window_s * 1000.0,
            cold_factor=bounds.cold_factor,
            cold_slack=bounds.cold_slack,
        )
