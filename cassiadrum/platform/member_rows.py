"""The rows with which gateways register in the store."""

from typing import Annotated, Final

import msgspec

from cassiadrum.crash_evidence import CONTENT_PATTERN, CONTENTS_PATTERN
from cassiadrum.platform.errors import DECODE_ERRORS, BadRecord
from cassiadrum.platform.row_pages import ChangedRow
from cassiadrum.settings.addresses import Address

__all__ = ["AnsweredRow", "CrashRow", "LimitRow", "MemberRow", "decode_member"]


# Upper bound on a request limit in a row; an endpoint states at most 18 digits.
MAX_RATE_PER_S: Final = 1e18
# Largest integer that can be encoded again.
MAX_STARTED_MS: Final = 2**63 - 1


class LimitRow(msgspec.Struct):
    """What a gateway tells about the request limit of an incarnation of an endpoint."""

    instance: str
    address: str
    started_ms: Annotated[int, msgspec.Meta(ge=0, le=MAX_STARTED_MS)]
    # Requests per second of all gateways together, None at the end of a limit.
    rate_per_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RATE_PER_S)] | None
    # Time of the answer that told it, in milliseconds on the store's clock.
    made_ms: float


ContentsText = Annotated[str, msgspec.Meta(pattern=CONTENTS_PATTERN)]
ContentText = Annotated[str, msgspec.Meta(pattern=CONTENT_PATTERN)]
EndpointText = Annotated[str, msgspec.Meta(max_length=300)]


class CrashRow(msgspec.Struct):
    """An endpoint that ended, in milliseconds on the store's clock, and what it may have begun."""

    endpoint: EndpointText
    at_ms: float
    contents: list[ContentsText]


class AnsweredRow(msgspec.Struct):
    """A content that answers were begun on, and the time of the last whole one if any."""

    content: ContentText
    whole_ms: float | None


class MemberRow(msgspec.Struct):
    """Registration of a gateway; times are milliseconds on the store's clock."""

    # First registration, and the end of the current one.
    joined_ms: float
    expires_ms: float
    limits: list[LimitRow] = []
    crashes: list[CrashRow] = []
    answered: list[AnsweredRow] = []


def decode_member(row: ChangedRow) -> MemberRow:
    """Return a registration; raise BadRecord if it is invalid."""
    try:
        member = msgspec.json.decode(row.content or b"", type=MemberRow)
        for limit in member.limits:
            Address.parse_peer(limit.address)
    except DECODE_ERRORS as exc:
        raise BadRecord(f"gateway {row.key}: {exc}") from exc
    return member
