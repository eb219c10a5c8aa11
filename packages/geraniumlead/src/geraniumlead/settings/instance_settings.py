"""Define the settings file of one instance."""

from typing import Annotated

from msgspec import Meta, Struct, field
from msgspec.json import decode

from geraniumlead.settings.limits import LimitSettings
from geraniumlead.settings.listen import ListenSettings
from geraniumlead.settings.timing import TimingSettings

Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,62}$")]
Address = Annotated[str, Meta(pattern=r"^[0-9a-fA-F.:\[\]]+:[0-9]{1,5}$")]


class InstanceSettings(Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """The identity of an instance, its listening addresses, and the addresses of the platform.

    ``peer_secret_key`` and ``peer_public_key`` are a CURVE key pair in Z85 encoding. If both are
    empty, peers run without keys, which is for development only.
    """

    instance_id: Name
    data_centre: Name
    listen: ListenSettings
    platform_addresses: Annotated[list[Address], Meta(min_length=1)]
    limits: LimitSettings = field(default_factory=LimitSettings)
    timing: TimingSettings = field(default_factory=TimingSettings)
    peer_public_key: str = ""
    peer_secret_key: str = ""
    log_level: str = "info"
    seed: int | None = None

    @classmethod
    def from_json(cls, text: bytes) -> "InstanceSettings":
        """Decode a settings file. Raise msgspec.ValidationError with the path of an error."""
        return decode(text, type=cls)
