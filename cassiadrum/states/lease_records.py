"""The table row of a lease."""

from typing import NamedTuple

import msgspec

from cassiadrum.states.errors import InvalidRecord

__all__ = ["LeaseRecord"]


class LeaseRecord(NamedTuple):
    """A lease; `holder` is unique to a process start and empty after a release.

    `fencing` increases with each takeover, and `renewal` with each write of a holder.
    """

    holder: str
    fencing: int
    renewal: int
    duration_s: float

    @classmethod
    def from_value(cls, value: dict[str, object]) -> "LeaseRecord":
        """Decode the value of a row; raise InvalidRecord."""
        try:
            return msgspec.convert([value[name] for name in cls._fields], cls)
        except (msgspec.MsgspecError, KeyError) as exc:
            raise InvalidRecord(f"invalid lease: {exc!r}") from exc

    def to_value(self) -> dict[str, object]:
        """Return the value for a row."""
        return self._asdict()
