"""Where streams began, which decides where they may go on."""

import asyncio
import logging
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Callable
from enum import Enum
from typing import Final, NamedTuple

import xxhash

from cassiadrum.gateways.decision_logs import DecisionLog
from cassiadrum.gateways.endpoint_views import EndpointView
from cassiadrum.gateways.errors import Refused
from cassiadrum.gateways.gateway_metrics import GatewayMetrics
from cassiadrum.gateways.request_contexts import RequestContext, StreamOrigin
from cassiadrum.stores.errors import StoreUnavailable

__all__ = ["FoundOrigin", "MemoryOriginStore", "OriginSource", "OriginStore", "StreamOrigins"]

logger = logging.getLogger(__name__)

# Bounds on the time for which a stream that is taken up waits until it is known where it began,
# in seconds and as a fraction of the time that its caller has left.
MAX_LOOKUP_S: Final = 2.0
MAX_LOOKUP_FRACTION: Final = 0.35
LOOKUP_RETRY_S: Final = 0.05
# Retry-After while the store does not answer, and where it has no answer.
STORE_RETRY_AFTER_S: Final = 0.5
UNKNOWN_RETRY_AFTER_S: Final = 1.0
# Bounds the memory of streams that began here; the store knows the older ones.
MAX_REMEMBERED: Final = 20_000


class OriginSource(Enum):
    """What told where a stream began."""

    # It began, or was taken up before, at this process.
    MEMORY = "memory"
    # The store has a record of the stream.
    RECORD = "record"
    # Streams without a record have all begun at one version.
    NO_RECORD = "no_record"


class FoundOrigin(NamedTuple):
    """Where a stream began, and what told it."""

    origin: StreamOrigin
    source: OriginSource


class OriginStore(ABC):
    """Store of the origins of streams, which outlives all gateways.

    Streams need no record while they begin at the version at which all others without a record
    began. Keys identify a stream by its customer and the request that brought its first event.
    """

    def __init__(self) -> None:
        # Called when the store has lost records that it had acknowledged.
        self.on_restored: Callable[[], None] = lambda: None

    @property
    @abstractmethod
    def can_record(self) -> bool:
        """Return whether a record is expected to be written in time."""

    @property
    @abstractmethod
    def is_away(self) -> bool:
        """Return whether a record would wait for long."""

    @abstractmethod
    def needs_no_record(self, origin: StreamOrigin) -> bool:
        """Return whether a stream may begin there now without a record."""

    @abstractmethod
    def record(self, key: str, origin: StreamOrigin) -> asyncio.Event:
        """Begin to write a record, or to replace it; the event is set once it is written."""

    @abstractmethod
    def discard(self, key: str) -> None:
        """Give up a record that is not written yet, of a stream that has not begun."""

    @abstractmethod
    async def find(self, service: str, key: str) -> FoundOrigin | None:
        """Return where a stream began, None if that cannot be known; raise StoreUnavailable.

        With an empty key the caller did not name the stream.
        """


class MemoryOriginStore(OriginStore):
    """Records in the memory of this process, for a gateway without others and without a store."""

    def __init__(self) -> None:
        super().__init__()
        self._origins: dict[str, StreamOrigin] = {}

    @property
    def can_record(self) -> bool:
        """Return True."""
        return True

    @property
    def is_away(self) -> bool:
        """Return False."""
        return False

    def needs_no_record(self, origin: StreamOrigin) -> bool:
        """Return False."""
        return False

    def record(self, key: str, origin: StreamOrigin) -> asyncio.Event:
        """Record at once."""
        self._origins[key] = origin
        if len(self._origins) > MAX_REMEMBERED:
            del self._origins[next(iter(self._origins))]
        written = asyncio.Event()
        written.set()
        return written

    def discard(self, key: str) -> None:
        """Remove the record."""
        self._origins.pop(key, None)

    async def find(self, service: str, key: str) -> FoundOrigin | None:
        """Return the recorded origin."""
        origin = self._origins.get(key)
        return None if origin is None else FoundOrigin(origin, OriginSource.RECORD)


class StreamOrigins:
    """Keeps each resumable stream at the software version that began it.

    What two versions write does not fit together, and endpoints do not check it. So a stream goes
    on only at endpoints of the version that sent its first event, within one answer and when a
    caller takes it up again. That version is safe in the store, or follows from what is safe
    there, before the caller gets the first event; where it cannot be known, the caller is refused.
    """

    def __init__(
        self,
        store: OriginStore,
        log: DecisionLog,
        metrics: GatewayMetrics,
        clock: Callable[[], float],
    ) -> None:
        self._store = store
        store.on_restored = self._record_again
        self._log = log
        self._metrics = metrics
        self._clock = clock
        self._remembered: OrderedDict[str, StreamOrigin] = OrderedDict()
        # The records of streams that have not begun.
        self._records: dict[RequestContext, _Record] = {}

    def permitted(self, ctx: RequestContext, views: list[EndpointView]) -> list[EndpointView]:
        """Return the endpoints at which a request may begin or go on."""
        if not ctx.is_resumable:
            return views
        if ctx.origin is not None:
            return [view for view in views if ctx.origin.permits(view.entry.version)]
        if self._store.can_record:
            return views
        # Elsewhere the first event would be held back until the store answers again.
        free = [view for view in views if self._store.needs_no_record(_origin(ctx, view))]
        return free if free or self._store.is_away else views

    async def find(self, ctx: RequestContext) -> None:
        """Set where the stream began that a caller takes up; raise Refused if it is not known."""
        if not ctx.takes_up:
            return
        started_s = self._clock()
        found = await self._find(ctx)
        source = found.source.value if found is not None else "unknown"
        self._metrics.record_taken_up_stream(ctx.service, source)
        if found is None:
            raise Refused("stream_origin_unknown", UNKNOWN_RETRY_AFTER_S, **_take_up_fields(ctx))
        ctx.origin = found.origin
        if ctx.call.resumes:
            self._remember(_key(ctx, ctx.call.resumes), found.origin)
        self._log.record(
            ctx,
            "stream taken up",
            **_take_up_fields(ctx),
            origin_service=found.origin.service,
            software=found.origin.version,
            source=source,
            lookup_ms=round((self._clock() - started_s) * 1000),
        )

    def begin(self, ctx: RequestContext, view: EndpointView) -> None:
        """Begin to record where a stream is about to begin, as its request is sent."""
        if not ctx.is_resumable or ctx.origin is not None:
            return
        origin = _origin(ctx, view)
        record = self._records.get(ctx)
        # A record of an earlier attempt would contradict a stream without one.
        if record is None and self._store.needs_no_record(origin):
            return
        if record is None or record.origin != origin:
            written = self._store.record(_key(ctx, ctx.call.request_id), origin)
            self._records[ctx] = _Record(origin, written)

    async def confirm(self, ctx: RequestContext, view: EndpointView) -> None:
        """Wait until the caller may get the first event of a stream."""
        if not ctx.is_resumable or ctx.origin is not None:
            return
        started_s = self._clock()
        self.begin(ctx, view)
        record = self._records.get(ctx)
        if record is not None:
            await record.written.wait()
            del self._records[ctx]
        ctx.origin = _origin(ctx, view)
        self._remember(_key(ctx, ctx.call.request_id), ctx.origin)
        self._log.record(
            ctx,
            "stream began",
            software=ctx.origin.version,
            recorded=record is not None,
            record_ms=round((self._clock() - started_s) * 1000),
        )

    def leave(self, ctx: RequestContext) -> None:
        """Forget a request that has ended."""
        if self._records.pop(ctx, None) is not None:
            self._store.discard(_key(ctx, ctx.call.request_id))

    async def _find(self, ctx: RequestContext) -> FoundOrigin | None:
        """Return where a stream began, None if that cannot be known; raise Refused."""
        key = _key(ctx, ctx.call.resumes) if ctx.call.resumes else ""
        known = self._remembered.get(key)
        if known is not None:
            return FoundOrigin(known, OriginSource.MEMORY)
        limit_s = min(MAX_LOOKUP_S, MAX_LOOKUP_FRACTION * (ctx.deadline_s - self._clock()))
        try:
            async with asyncio.timeout(limit_s):
                return await self._ask_store(ctx.service, key)
        except TimeoutError as exc:
            self._metrics.record_taken_up_stream(ctx.service, "store_unavailable")
            raise Refused(
                "stream_origin_unavailable", STORE_RETRY_AFTER_S, **_take_up_fields(ctx)
            ) from exc

    async def _ask_store(self, service: str, key: str) -> FoundOrigin | None:
        while True:
            try:
                return await self._store.find(service, key)
            except StoreUnavailable as exc:
                logger.info("origin of a stream not read: %s", exc)
                await asyncio.sleep(LOOKUP_RETRY_S)

    def _remember(self, key: str, origin: StreamOrigin) -> None:
        self._remembered[key] = origin
        self._remembered.move_to_end(key)
        if len(self._remembered) > MAX_REMEMBERED:
            self._remembered.popitem(last=False)

    def _record_again(self) -> None:
        """Record all streams that this process knows, in place of records that are lost."""
        for key, origin in self._remembered.items():
            self._store.record(key, origin)


class _Record(NamedTuple):
    """A record that is being written; `written` is set when the store has it."""

    origin: StreamOrigin
    written: asyncio.Event


def _origin(ctx: RequestContext, view: EndpointView) -> StreamOrigin:
    return StreamOrigin(ctx.service, view.entry.version)


def _key(ctx: RequestContext, request_id: str) -> str:
    """Return the key of a stream; ids are the callers' own, so that customers may use the same."""
    customer = ctx.customer.name if ctx.customer else ""
    text = f"{len(customer)} {customer}{request_id}"
    return xxhash.xxh3_128_hexdigest(text.encode(errors="surrogateescape"))


def _take_up_fields(ctx: RequestContext) -> dict[str, object]:
    return {"resumes": ctx.call.resumes, "last_event": ctx.call.last_event_id}
