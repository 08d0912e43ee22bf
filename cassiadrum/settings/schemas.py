"""TOML schema of the settings."""

from typing import Annotated, Literal, NotRequired, TypedDict

from msgspec import Meta

__all__ = [
    "EndpointTable",
    "HostPort",
    "LimitsTable",
    "ListenTable",
    "LogTable",
    "PlatformTable",
    "SettingsTable",
    "TlsTable",
]

Name = Annotated[
    str,
    Meta(
        pattern=r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,62}$",
        description="letter or digit, then up to 62 letters, digits, `_`, `.` or `-`",
    ),
]
PORT_PATTERN = "([0-9]{1,4}|[1-5][0-9]{4}|6[0-4][0-9]{3}|65[0-4][0-9]{2}|655[0-2][0-9]|6553[0-5])"
HostPort = Annotated[
    str,
    Meta(
        pattern=rf"^(\[[0-9a-fA-F:]+\]|[^:\s]+):{PORT_PATTERN}$",
        description="HOST:PORT or [IPV6]:PORT",
    ),
]


class SettingsTable(TypedDict):
    """Top level of the settings file."""

    role: Literal["entry", "sidecar"]
    instance: Name
    zone: Name
    region: NotRequired[Name]
    admin_token_file: NotRequired[str]
    listen: NotRequired[dict[str, object]]
    platform: dict[str, object]
    endpoint: NotRequired[dict[str, object]]
    log: NotRequired[dict[str, object]]
    limits: NotRequired[dict[str, object]]
    tls: NotRequired[dict[str, object]]


class ListenTable(TypedDict):
    """The `[listen]` table."""

    http: NotRequired[HostPort]
    link: NotRequired[HostPort]
    admin: NotRequired[HostPort]


class PlatformTable(TypedDict):
    """The `[platform]` table."""

    table_service: HostPort
    instance_list: HostPort
    object_store: NotRequired[HostPort]
    weight_store: NotRequired[HostPort]


class EndpointTable(TypedDict):
    """The `[endpoint]` table of a sidecar."""

    service: Name
    kind: Literal["engine", "plain"]
    address: HostPort
    enforces_fencing: NotRequired[bool]


class LogTable(TypedDict):
    """The `[log]` table."""

    format: NotRequired[Literal["json", "text"]]
    level: NotRequired[Literal["DEBUG", "INFO", "WARNING", "ERROR"]]


class LimitsTable(TypedDict):
    """The `[limits]` table."""

    drain_limit_s: NotRequired[Annotated[float, Meta(gt=0, le=86_400)]]
    subset_size: NotRequired[Annotated[int, Meta(ge=1, le=1024)]]
    queue_requests: NotRequired[Annotated[int, Meta(ge=1, le=1_000_000)]]
    concurrency: NotRequired[Annotated[int, Meta(ge=1, le=4096)]]


class TlsTable(TypedDict):
    """The `[tls]` table."""

    certificate: str
    key: str
    ca: str
