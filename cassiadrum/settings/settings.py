"""The settings of a daemon.

The tables stand in one file because they are one format.
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
    """Addresses of the platform's services; None when the deployment has none."""

    table_service: Address
    instance_list: Address
    object_store: Address | None
    weight_store: Address | None


class EndpointSettings(NamedTuple):
    """The endpoint that a sidecar stands beside; `kind` is `engine` or `plain`."""

    service: str
    kind: str
    address: Address
    enforces_fencing: bool


class LogSettings(NamedTuple):
    """`format` is `json` or `text`."""

    format: str
    level: str


class LimitSettings(NamedTuple):
    """Limits that an operator may change; times in seconds."""

    drain_limit_s: float
    subset_size: int
    queue_requests: int
    concurrency: int


class TlsSettings(NamedTuple):
    """Paths of PEM files; empty means no TLS. `ca` signs the peers' certificates."""

    certificate: str
    key: str
    ca: str


class Settings(NamedTuple):
    """Everything that a daemon learns from its file."""

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
