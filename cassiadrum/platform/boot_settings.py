"""The settings file that the platform gives each process."""

import os
from pathlib import Path
from typing import NamedTuple

import msgspec

from cassiadrum.platform.errors import BadSettings
from cassiadrum.settings.addresses import Address

__all__ = ["BootSettings", "Bounds", "load_boot_settings", "parse_boot_settings", "settings_path"]

FILE_VARIABLE = "CASSIADRUM_NODE_FILE"


class _ListenWire(msgspec.Struct):
    front: str = ""
    ready: str = ""


class _BoundsWire(msgspec.Struct):
    contact_ms: float = 3000.0
    config_apply_ms: float = 2000.0
    drain_ms: float = 2000.0
    grace_s: float = 8.0
    strict_revoke: bool = False
    revoke_ms: float = 5000.0
    retry_budget_ratio: float = 0.1
    budget_window_s: float = 10.0
    retry_budget_slack: float = 0.0


class _PlatformWire(msgspec.Struct):
    address: str


class _MachineWire(msgspec.Struct):
    max_fds: int = 1024


class _FileWire(msgspec.Struct):
    node: str
    zone: str
    listen: _ListenWire
    platform: _PlatformWire
    ip: str = ""
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


class BootSettings(NamedTuple):
    """Hold what a gateway needs of the settings file."""

    instance: str
    zone: str
    calls: Address
    readiness: Address
    store: Address
    # The machine's own address, where the metrics are served.
    host: str
    # Files and sockets that the process may have open.
    descriptors: int
    bounds: Bounds


def settings_path() -> Path:
    """Return the path of the settings file; raise BadSettings when it is not named."""
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        raise BadSettings(f"the environment variable {FILE_VARIABLE} is not set")
    return Path(path)


def load_boot_settings(path: Path) -> BootSettings:
    """Return the settings in a file; raise BadSettings, which names the key at fault."""
    try:
        return parse_boot_settings(path.read_bytes())
    except OSError as exc:
        raise BadSettings(f"{path}: {exc}") from exc
    except BadSettings as exc:
        raise BadSettings(f"{path}: {exc}") from exc


def parse_boot_settings(data: bytes) -> BootSettings:
    """Return the settings in `data`; raise BadSettings."""
    try:
        wire = msgspec.json.decode(data, type=_FileWire)
        return _to_settings(wire)
    except (msgspec.MsgspecError, ValueError) as exc:
        raise BadSettings(str(exc)) from exc


def _to_settings(wire: _FileWire) -> BootSettings:
    bounds = wire.bounds
    return BootSettings(
        instance=wire.node,
        zone=wire.zone,
        calls=Address.parse(wire.listen.front),
        readiness=Address.parse(wire.listen.ready),
        store=Address.parse(wire.platform.address),
        host=wire.ip,
        descriptors=wire.limits.max_fds,
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
