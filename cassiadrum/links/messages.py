"""Messages of the link protocol between entry instances and sidecars.

On the wire a message is a CBOR array of its type code and its fields in order. New fields are
added at the end with a default; a receiver ignores fields that it does not know. All messages are
in this file because together they define the protocol.
"""

import math
from typing import Annotated, Final, NamedTuple

import msgspec

from cassiadrum.crash_evidence import CONTENT_PATTERN, CONTENTS_PATTERN

__all__ = [
    "FETCH_ROLE",
    "MESSAGE_TYPES",
    "PROTOCOL_VERSION",
    "TIMESTAMPED_MESSAGES",
    "Ack",
    "Attach",
    "Cancel",
    "CrashReport",
    "Data",
    "Detach",
    "Document",
    "End",
    "FetchDocument",
    "Head",
    "Hello",
    "LinkRefused",
    "Message",
    "Order",
    "OrderResult",
    "Ping",
    "RejectStart",
    "Report",
    "StartRequest",
    "Versions",
]

PROTOCOL_VERSION: Final = 1
# Role in the hello of a link that an entry instance opens to fetch one answer.
FETCH_ROLE: Final = "fetch"

HeaderList = list[tuple[str, str]]
ContentsText = Annotated[str, msgspec.Meta(pattern=CONTENTS_PATTERN)]
ContentText = Annotated[str, msgspec.Meta(pattern=CONTENT_PATTERN)]


class Hello(NamedTuple):
    """The first message of a link, in either direction.

    `peer` is the instance that the dialling side means to reach: the instance list may be out of
    date, and the address may belong to another instance by now. `number` counts the links that the
    dialling process has opened, so that a late hello of an older link can be recognised.
    """

    protocol: int
    instance: str
    role: str
    zone: str
    digest: str
    process_start: str = ""
    peer: str = ""
    number: int = 0


class Ping(NamedTuple):
    """Heartbeat of either side.

    `number` counts the sender's heartbeats, `echo` is the number of the last one that it
    received, and `clock` is its hybrid logical clock.
    """

    number: int
    digest: str
    clock: list[int]
    echo: int = 0


class StartRequest(NamedTuple):
    """Request to a sidecar to start an attempt.

    `deadline_left_s` is the time left until the deadline, infinite without one. `delivered_events`
    counts the events of an earlier attempt that the caller already has. `silence_limit_s` bounds
    the time without a byte from the endpoint, 0 for no bound. `contents` are what the request has
    in common with others.
    """

    attempt_id: str
    request_id: str
    service: str
    class_name: str
    tier: int
    protected: bool
    once_only: bool
    cancellable: bool
    customer: str
    deadline_left_s: float
    method: str
    target: str
    headers: HeaderList
    body: bytes
    key: str = ""
    delivered_events: int = 0
    clock: list[int] = []  # noqa: RUF012 - never changed in place
    max_wait_s: float = 30.0
    idempotent: bool = False
    silence_limit_s: float = 0.0
    contents: list[ContentsText] = []  # noqa: RUF012 - never changed in place


class Head(NamedTuple):
    """Status and headers of an answer."""

    attempt_id: str
    status: int
    headers: HeaderList


class Data(NamedTuple):
    """Parts of answers, each with its attempt, its position in bytes and its bytes."""

    parts: list[tuple[str, int, bytes]]


class End(NamedTuple):
    """The end of an attempt; `position` is the length of the whole answer in bytes.

    `final` forbids another attempt because its result would be the same.
    """

    attempt_id: str
    ok: bool
    ran: str
    tokens: int
    reason: str
    retry_after_s: float
    position: int
    clock: list[int] = []  # noqa: RUF012 - never changed in place
    final: bool = False


class RejectStart(NamedTuple):
    """Refusal of an attempt that was not run."""

    attempt_id: str
    reason: str
    retry_after_s: float
    clock: list[int] = []  # noqa: RUF012 - never changed in place


class Ack(NamedTuple):
    """Positions in bytes up to which answers reached their callers."""

    parts: list[tuple[str, int]]


class Attach(NamedTuple):
    """Request for an answer from a position on, over a new link or through a new entry instance.

    `age_s` is the time since the attempt was sent, infinite when the sender does not know it.
    """

    attempt_id: str
    position: int
    clock: list[int] = []  # noqa: RUF012 - never changed in place
    age_s: float = math.inf


class Detach(NamedTuple):
    """Request to stop sending an answer whose caller disconnected while fetching it."""

    attempt_id: str


class Cancel(NamedTuple):
    """Request to cancel an attempt whose caller disconnected."""

    attempt_id: str
    clock: list[int] = []  # noqa: RUF012 - never changed in place


class Report(NamedTuple):
    """Load of an endpoint; `age_s` is the age of the endpoint's own figures.

    `cached` holds the keys of prompt prefixes cached since the last report. `version` is that of
    the endpoint's software, empty if it states none.
    """

    age_s: float
    running: int
    queued: int
    limit: int
    models: list[str]
    adapters: list[str]
    leaving: bool
    tokens_per_s: float
    cached: list[int]
    clock: list[int] = []  # noqa: RUF012 - never changed in place
    version: str = ""


class Versions(NamedTuple):
    """Configuration versions in force, by service."""

    versions: dict[str, int]
    clock: list[int] = []  # noqa: RUF012 - never changed in place


class FetchDocument(NamedTuple):
    """Request for the document of a service."""

    service: str


class Document(NamedTuple):
    """The document of a service at a version; `deleted` marks a tombstone."""

    service: str
    version: int
    text: str
    deleted: bool
    clock: list[int] = []  # noqa: RUF012 - never changed in place


class Order(NamedTuple):
    """An order to the endpoint under a fencing number."""

    order_id: str
    lease: str
    fencing: int
    action: str
    subject: str
    clock: list[int] = []  # noqa: RUF012 - never changed in place


class OrderResult(NamedTuple):
    """The result of an order."""

    order_id: str
    ok: bool
    reason: str
    clock: list[int] = []  # noqa: RUF012 - never changed in place


class CrashReport(NamedTuple):
    """Endpoints that ended as they began answers, as a sidecar knows.

    `crashes` holds the endpoint, the age in seconds and the contents of each. `answered` holds
    contents on which answers were begun, with the age of the last whole one, None without one.
    """

    crashes: list[tuple[str, float, list[ContentsText]]]
    answered: list[tuple[ContentText, float | None]]


class LinkRefused(NamedTuple):
    """The sidecar refuses the link because it has reached its connection bound."""

    reason: str


Message = (
    Hello
    | Ping
    | StartRequest
    | Head
    | Data
    | End
    | RejectStart
    | Ack
    | Attach
    | Cancel
    | Report
    | Versions
    | FetchDocument
    | Document
    | Order
    | OrderResult
    | LinkRefused
    | Detach
    | CrashReport
)

# The type code of a message is its index here, so types are only appended.
MESSAGE_TYPES: Final[tuple[type[Message], ...]] = (
    Hello,
    Ping,
    StartRequest,
    Head,
    Data,
    End,
    RejectStart,
    Ack,
    Attach,
    Cancel,
    Report,
    Versions,
    FetchDocument,
    Document,
    Order,
    OrderResult,
    LinkRefused,
    Detach,
    CrashReport,
)

# Messages that cause events at the receiver and carry the sender's hybrid logical clock.
TIMESTAMPED_MESSAGES: Final = (
    StartRequest,
    End,
    RejectStart,
    Attach,
    Cancel,
    Report,
    Versions,
    Document,
    Order,
    OrderResult,
)
