"""The settings file that the platform gives each process."""

import os
from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
import xxhash
from msgspec import Meta

from cassiadrum.platform.errors import BadSettings
from cassiadrum.schemas import Finding, check_struct
from cassiadrum.settings.addresses import Address
from cassiadrum.settings.schemas import HostPort

__all__ = ["Bounds", "NodeSettings", "load_node_settings", "parse_node_settings", "settings_path"]

FILE_VARIABLE = "CASSIADRUM_NODE_FILE"
MEGABYTE = 1024 * 1024


NotNegative = Annotated[float, Meta(ge=0, description="a number of at least 0")]
Positive = Annotated[float, Meta(gt=0, description="a number above 0")]
Count = Annotated[int, Meta(ge=1, description="a whole number of at least 1")]


class _ListenWire(msgspec.Struct):
    front: HostPort
    ready: HostPort


class _BoundsWire(msgspec.Struct):
    contact_ms: Positive = 3000.0
    config_apply_ms: Positive = 2000.0
    drain_ms: NotNegative = 2000.0
    grace_s: NotNegative = 8.0
    strict_revoke: bool = False
    revoke_ms: Positive = 5000.0
    retry_budget_ratio: NotNegative = 0.1
    budget_window_s: Positive = 10.0
    retry_budget_slack: NotNegative = 0.0


class _PlatformWire(msgspec.Struct):
    address: HostPort


class _MachineWire(msgspec.Struct):
    max_fds: Count = 1024
    memory_mb: Positive = 256.0


class _FileWire(msgspec.Struct):
    node: str
    zone: str
    listen: _ListenWire
    platform: _PlatformWire
    ip: str = ""
    heartbeat_ms: Positive = 1200.0
    limits: _MachineWire = msgspec.field(default_factory=_MachineWire)
    bounds: _BoundsWire = msgspec.field(default_factory=_BoundsWire)


class Bounds(NamedTuple):
    """Hold the deployment's bounds, in seconds where the name ends so."""

    # How long calm a machine and the store must be for the other bounds to hold.
    contact_s: float
    # From the acceptance of a configuration until it must be in force.
    apply_s: float
    # From an endpoint's leaving until it may get no new request.
    drain_s: float
    # From SIGTERM to SIGKILL.
    grace_s: float
    # Whether a key that was taken away must not be served past `revoke_s` under any fault.
    strict_keys: bool
    revoke_s: float
    # Attempts beyond the first, as a part of the requests and a number besides, in a window.
    retry_ratio: float
    retry_spare: float
    retry_window_s: float


class NodeSettings(NamedTuple):
    """Hold what a gateway needs of the settings file.

    The store and the bounds may change while it runs, the other fields at a start only.
    """

    instance: str
    zone: str
    calls: Address
    readiness: Address
    store: Address
    # The machine's own address, where the metrics are served.
    host: str
    # Files and sockets that the process may have open.
    descriptors: int
    memory_bytes: int
    # How often endpoints renew their registrations.
    heartbeat_s: float
    bounds: Bounds

    @property
    def digest(self) -> int:
        """Return a number that is equal where all that may change while running is equal."""
        return xxhash.xxh32_intdigest(repr((self.store, self.bounds)).encode())


def settings_path() -> Path:
    """Return the path of the settings file; raise BadSettings when it is not named."""
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        raise BadSettings([Finding("environment", FILE_VARIABLE, "nothing", "a path")])
    return Path(path)


def load_node_settings(path: Path) -> NodeSettings:
    """Return the settings in a file; raise BadSettings with one finding for each error."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise BadSettings([Finding(str(path), "(file)", str(exc), "a readable file")]) from exc
    return parse_node_settings(data, str(path))


def parse_node_settings(data: bytes, file: str = "settings") -> NodeSettings:
    """Return the settings in `data`; raise BadSettings with one finding for each error."""
    try:
        raw = msgspec.json.decode(data)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise BadSettings([Finding(file, "(syntax)", str(exc), "JSON")]) from exc
    findings = check_struct(raw, _FileWire, file, "")
    if findings:
        raise BadSettings(findings)
    return _to_settings(msgspec.convert(raw, _FileWire))


def _to_settings(wire: _FileWire) -> NodeSettings:
    bounds = wire.bounds
    return NodeSettings(
        instance=wire.node,
        zone=wire.zone,
        calls=Address.parse(wire.listen.front),
        readiness=Address.parse(wire.listen.ready),
        store=Address.parse(wire.platform.address),
        host=wire.ip,
        descriptors=wire.limits.max_fds,
        memory_bytes=int(wire.limits.memory_mb * MEGABYTE),
        heartbeat_s=wire.heartbeat_ms / 1000,
        bounds=Bounds(
            contact_s=bounds.contact_ms / 1000,
            apply_s=bounds.config_apply_ms / 1000,
            drain_s=bounds.drain_ms / 1000,
            grace_s=bounds.grace_s,
            strict_keys=bounds.strict_revoke,
            revoke_s=bounds.revoke_ms / 1000,
            retry_ratio=bounds.retry_budget_ratio,
            retry_spare=bounds.retry_budget_slack,
            retry_window_s=bounds.budget_window_s,
        ),
    )
