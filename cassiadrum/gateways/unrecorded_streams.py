"""Decisions on the software version of streams that have no record."""

from collections import Counter
from collections.abc import Iterable
from typing import Final, NamedTuple

from cassiadrum.gateways.endpoint_entries import EndpointEntry

__all__ = ["LEASE_S", "STREAM_LIFETIME_S", "UnrecordedStreams", "next_unrecorded"]

# Longest time after its beginning for which a caller takes a stream up again. It covers several
# tries of the longest timeouts in use.
STREAM_LIFETIME_S: Final = 180.0
# Time after a read of the state for which a gateway may begin streams without a record. Gateways
# that are cut off from the store serve on for that long.
LEASE_S: Final = 120.0
# Time for which a version has no endpoint before it is closed; most crashes are shorter.
ABSENT_S: Final = 10.0


class UnrecordedStreams(NamedTuple):
    """What is known of the streams of one service without a record: where all of them began.

    `version` is that software version, empty if it is not known. Since `closed_s`, on the store's
    clock in seconds, none begin without a record any more; None while they may.

    A gateway may know an older state than the store has, by LEASE_S at most. So a version is
    closed for long enough before another one is opened: by then, the last stream that a gateway
    began by the old state has ended.
    """

    version: str
    closed_s: float | None = None

    @property
    def opens_s(self) -> float | None:
        """Return the time on the store's clock from which another version may follow."""
        return None if self.closed_s is None else self.closed_s + LEASE_S + STREAM_LIFETIME_S

    def permits(self, version: str) -> bool:
        """Return whether streams may begin at a version without a record."""
        return self.closed_s is None and bool(version) and version == self.version

    def origin_at(self, store_s: float) -> str:
        """Return the version of a stream without a record, empty if it is not known.

        `store_s` is the time on the store's clock at which it had no record.
        """
        if self.opens_s is not None and store_s >= self.opens_s:
            # Another gateway may have opened another version.
            return ""
        return self.version


def next_unrecorded(
    state: UnrecordedStreams | None,
    entries: Iterable[EndpointEntry],
    store_s: float,
    absent_s: float,
) -> UnrecordedStreams | None:
    """Return the state that should replace the one in the store, None if it should stay.

    `state` is None if the store has none, so that no stream has begun. `entries` are the service's
    registered endpoints, among which its version has been missing for `absent_s` seconds.
    """
    entries = list(entries)
    versions = {entry.version for entry in entries} - {""}
    if not versions:
        return None
    if state is None or (state.opens_s is not None and store_s >= state.opens_s):
        return UnrecordedStreams(_most_common(entries))
    if state.closed_s is None and state.version not in versions and absent_s >= ABSENT_S:
        return state._replace(closed_s=store_s)
    return None


def _most_common(entries: Iterable[EndpointEntry]) -> str:
    """Return the version with the most endpoints that stay, or else with the most of all."""
    counts = Counter(entry.version for entry in entries if entry.version)
    staying = Counter(entry.version for entry in entries if entry.version and not entry.leaving)
    return max(counts, key=lambda version: (staying[version], counts[version], version))
