"""The table row of a once-only call."""

from enum import StrEnum
from typing import NamedTuple

import msgspec

from cassiadrum.states.errors import InvalidRecord

__all__ = ["ClaimRecord", "ClaimState", "StoredAnswer"]


class ClaimState(StrEnum):
    """State of a claim.

    A retry never changes `unknown` or `done` to a state in which the call may run. Only the
    process that made the claim, or an operator, resolves `unknown`.
    """

    RUNNING = "running"
    DONE = "done"
    UNKNOWN = "unknown"
    NOT_RUN = "not_run"


class StoredAnswer(NamedTuple):
    """An answer in a row; the body is empty if it is in the object store or not stored."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes
    body_kept: bool


class ClaimRecord(NamedTuple):
    """A claim; times are wall-clock seconds since 1970.

    The wall clocks of instances differ. An instance whose clock is ahead may set a running claim
    to `unknown` early, which refuses retries but never lets the call run again.
    """

    state: ClaimState
    operation_id: str
    body_hash: str
    instance: str
    claimed_at: float
    expires_at: float
    answer: StoredAnswer | None = None
    # Kept outside `answer`, so that clean-up can list it without reading bodies.
    object_key: str = ""

    @classmethod
    def from_value(cls, value: dict[str, object]) -> "ClaimRecord":
        """Decode the value of a row; raise InvalidRecord."""
        try:
            return msgspec.convert([value[name] for name in cls._fields], cls)
        except (msgspec.MsgspecError, KeyError) as exc:
            raise InvalidRecord(f"invalid claim: {exc!r}") from exc

    def to_value(self) -> dict[str, object]:
        """Return the value for a row, of JSON types only; bytes become base64."""
        value: dict[str, object] = msgspec.to_builtins(self._asdict())
        return value
