"""Settings of a daemon.

All tables of the settings file are in this module, since they form one format.
"""

from typing import NamedTuple

from cassiadrum.settings.addresses import Address

__all__ = [
    "EndpointSettings",
    "LimitSettings",
    "ListenSettings",
    "LogSettings",
    "PlatformSettings",
    "Settings",
    "TlsSettings",
]


class ListenSettings(NamedTuple):
    """Addresses for callers (`http`), entry instances (`link`) and operators (`admin`)."""

    http: Address
    link: Address
    admin: Address


class PlatformSettings(NamedTuple):
    """Addresses of the platform's services; None for a service that is not deployed."""

    table_service: Address
    instance_list: Address
    object_store: Address | None
    weight_store: Address | None


class EndpointSettings(NamedTuple):
    """Endpoint that a sidecar serves; `kind` is `engine` or `plain`."""

    service: str
    kind: str
    address: Address
    enforces_fencing: bool


class LogSettings(NamedTuple):
    """Log settings; `format` is `json` or `text`."""

    format: str
    level: str


class LimitSettings(NamedTuple):
    """Limits that an operator can change; times are in seconds."""

    drain_limit_s: float
    subset_size: int
    queue_requests: int
    concurrency: int


class TlsSettings(NamedTuple):
    """Paths of PEM files, empty without TLS. `ca` verifies the certificates of the peers."""

    certificate: str
    key: str
    ca: str


class Settings(NamedTuple):
    """Contents of a daemon's settings file."""

    role: str
    instance: str
    zone: str
    region: str
    listen: ListenSettings
    platform: PlatformSettings
    endpoint: EndpointSettings | None
    log: LogSettings
    limits: LimitSettings
    tls: TlsSettings
    admin_token_file: str
