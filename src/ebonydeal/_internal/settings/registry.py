"""All sections of a settings file.

All programs of an instance can share one file: each uses the sections it needs, and
all sections are validated.
"""

from ebonydeal._internal.settings.config import ConfigSettings
from ebonydeal._internal.settings.console import ConsoleSettings
from ebonydeal._internal.settings.controller import ControllerSettings
from ebonydeal._internal.settings.directory import DirectorySettings
from ebonydeal._internal.settings.gateway import GatewaySettings
from ebonydeal._internal.settings.journal import JournalSettings
from ebonydeal._internal.settings.policy import PolicySettings
from ebonydeal._internal.settings.relay import RelaySettings
from ebonydeal._internal.settings.routing import (
    AdmissionSettings,
    RetrySettings,
    RoutingSettings,
)
from ebonydeal._internal.settings.sections import (
    LogSettings,
    NodeSettings,
    PeerSettings,
    PlatformSettings,
    TlsSettings,
)

ALL_SECTIONS: dict[str, type] = {
    "node": NodeSettings,
    "platform": PlatformSettings,
    "peers": PeerSettings,
    "tls": TlsSettings,
    "logs": LogSettings,
    "config": ConfigSettings,
    "directory": DirectorySettings,
    "routing": RoutingSettings,
    "admission": AdmissionSettings,
    "retries": RetrySettings,
    "gateway": GatewaySettings,
    "journal": JournalSettings,
    "controller": ControllerSettings,
    "console": ConsoleSettings,
    "relay": RelaySettings,
    "policy": PolicySettings,
}
