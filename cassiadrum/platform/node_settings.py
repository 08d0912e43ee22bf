"""The settings file that the platform provides to each process."""

import os
from pathlib import Path
from typing import Annotated, NamedTuple

import msgspec
import xxhash
from msgspec import Meta

from cassiadrum.platform.errors import DECODE_ERRORS, BadSettings
from cassiadrum.schemas import Finding, check_struct
from cassiadrum.settings.addresses import Address
from cassiadrum.settings.schemas import HostPort

__all__ = ["Bounds", "NodeSettings", "load_node_settings", "parse_node_settings", "settings_path"]

FILE_VARIABLE = "CASSIADRUM_NODE_FILE"
MEGABYTE = 1024 * 1024
MEGABIT_BYTES = 125_000


# Larger numbers would overflow in conversions and sums.
MAX_NUMBER = 1e12
MAX_COUNT = 2**31 - 1

NotNegative = Annotated[float, Meta(ge=0, le=MAX_NUMBER, description="a number from 0 to 1e12")]
Positive = Annotated[
    float, Meta(gt=0, le=MAX_NUMBER, description="a number above 0, at most 1e12")
]
Count = Annotated[
    int, Meta(ge=1, le=MAX_COUNT, description=f"a whole number from 1 to {MAX_COUNT}")
]
NonEmpty = Annotated[str, Meta(min_length=1, description="a text that is not empty")]


class _ListenWire(msgspec.Struct):
    front: HostPort
    ready: HostPort


class _BoundsWire(msgspec.Struct):
    contact_ms: Positive = 3000.0
    config_apply_ms: Positive = 2000.0
    drain_ms: NotNegative = 2000.0
    grace_s: NotNegative = 8.0
    # Absent in deployments that do not bound the time for which a revoked key may be served.
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
    # Absent if the bandwidth of the machine's link is not known.
    link_mbps: Positive | None = None


class _FileWire(msgspec.Struct):
    node: NonEmpty
    zone: NonEmpty
    listen: _ListenWire
    platform: _PlatformWire
    # That at which callers are accepted if empty: listening at "" would open every address.
    ip: str = ""
    heartbeat_ms: Positive = 1200.0
    limits: _MachineWire = msgspec.field(default_factory=_MachineWire)
    bounds: _BoundsWire = msgspec.field(default_factory=_BoundsWire)


class Bounds(NamedTuple):
    """The deployment's bounds; names that end in `_s` are in seconds."""

    # How long a machine and the store must be free of faults before the other bounds apply.
    contact_s: float
    # Longest time from the acceptance of a configuration until it is in force.
    apply_s: float
    # Longest time after an endpoint starts to drain in which it may still get new requests.
    drain_s: float
    # Time between SIGTERM and SIGKILL.
    grace_s: float
    # Whether a revoked API key must be refused after `revoke_s` under any fault.
    strict_keys: bool
    revoke_s: float
    # Retry budget: in each window of `retry_window_s`, the attempts beyond the first may number
    # `retry_ratio` times the requests, plus `retry_spare`.
    retry_ratio: float
    retry_spare: float
    retry_window_s: float


class NodeSettings(NamedTuple):
    """The values of the settings file that a gateway uses.

    The store address and the bounds can be reloaded at run time; the other fields need a restart.
    """

    instance: str
    zone: str
    calls: Address
    readiness: Address
    store: Address
    # The machine's own address, on which the metrics are served.
    host: str
    # Limit on open file descriptors, sockets included.
    descriptors: int
    memory_bytes: int
    # Bandwidth of the machine's link, None if it is not known.
    link_bytes_per_s: float | None
    # Interval at which endpoints renew their registrations.
    heartbeat_s: float
    bounds: Bounds

    @property
    def digest(self) -> int:
        """Return a 32-bit hash of the settings that can be reloaded at run time."""
        return xxhash.xxh32_intdigest(repr((self.store, self.bounds)).encode())


def settings_path() -> Path:
    """Return the path of the settings file; raise BadSettings if the variable is not set."""
    path = os.environ.get(FILE_VARIABLE)
    if not path:
        raise BadSettings([Finding("environment", FILE_VARIABLE, "nothing", "a path")])
    return Path(path)


def load_node_settings(path: Path) -> NodeSettings:
    """Read settings from a file; raise BadSettings with one finding for each error."""
    try:
        data = path.read_bytes()
    except OSError as exc:
        raise BadSettings([Finding(str(path), "(file)", str(exc), "a readable file")]) from exc
    return parse_node_settings(data, str(path))


def parse_node_settings(data: bytes, file: str = "settings") -> NodeSettings:
    """Parse settings from JSON; raise BadSettings with one finding for each error.

    `file` is the file name used in the findings.
    """
    try:
        raw = msgspec.json.decode(data)
    except DECODE_ERRORS as exc:
        raise BadSettings([Finding(file, "(syntax)", str(exc), "JSON")]) from exc
    findings = check_struct(raw, _FileWire, file, "")
    if findings:
        raise BadSettings(findings)
    return _to_settings(msgspec.convert(raw, _FileWire))


def _to_settings(wire: _FileWire) -> NodeSettings:
    bounds = wire.bounds
    calls = Address.parse(wire.listen.front)
    return NodeSettings(
        instance=wire.node,
        zone=wire.zone,
        calls=calls,
        readiness=Address.parse(wire.listen.ready),
        store=Address.parse(wire.platform.address),
        host=wire.ip or calls.host,
        descriptors=wire.limits.max_fds,
        memory_bytes=int(wire.limits.memory_mb * MEGABYTE),
        link_bytes_per_s=wire.limits.link_mbps and wire.limits.link_mbps * MEGABIT_BYTES,
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
