"""Define and load the settings of an instance."""

from geraniumlead.settings.instance_settings import InstanceSettings
from geraniumlead.settings.limits import LimitSettings
from geraniumlead.settings.listen import ListenSettings
from geraniumlead.settings.platform_settings import PlatformSettings
from geraniumlead.settings.timing import TimingSettings

__all__ = [
    "InstanceSettings",
    "LimitSettings",
    "ListenSettings",
    "PlatformSettings",
    "TimingSettings",
]
