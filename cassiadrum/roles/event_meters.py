"""Derivation of metrics from recorded events."""

from collections.abc import Callable
from typing import NamedTuple

from cassiadrum.documents import ServiceDocument
from cassiadrum.events import Event, EventKind
from cassiadrum.metrics import RoleMetrics

__all__ = ["EventMeter"]

# Refusals for these reasons are caused by the caller and do not count against the service level.
CALLER_CAUSED_REASONS = frozenset({"key_reused", "in_progress", "cancelled"})


class _Timing(NamedTuple):
    received_s: float
    first_token_s: float | None = None


class EventMeter:
    """Meter that updates the metrics of a process from the events that it records.

    `find_document` returns the document with the targets that decide attainment, or None. `clock`
    returns monotonic seconds; the events' own times follow the wall clock, which may jump.
    """

    def __init__(
        self,
        metrics: RoleMetrics,
        find_document: Callable[[str], ServiceDocument | None],
        clock: Callable[[], float],
    ) -> None:
        self._metrics = metrics
        self._find_document = find_document
        self._clock = clock
        # By request id at an entry instance and by attempt id at a sidecar, until it has ended.
        self._timings: dict[str, _Timing] = {}
        self._handlers: dict[EventKind, Callable[[Event], None]] = {
            EventKind.RECEIVED: self._received,
            EventKind.QUEUED: self._queued,
            EventKind.DISPATCHED: self._dispatched,
            EventKind.STARTED: self._started,
            EventKind.FIRST_TOKEN: self._first_token,
            EventKind.HEDGED: lambda event: metrics.count_hedge(event.service, event.class_name),
            EventKind.FINISHED: self._finished,
            EventKind.CANCELLED: self._ended_early,
            EventKind.REJECTED: self._discard,
            EventKind.REFUSED: self._refused,
            EventKind.EVICTED: self._refused,
            EventKind.CLAIM_MADE: lambda event: metrics.count_claim(event.service, "made"),
            EventKind.CLAIM_REFUSED: lambda event: self._record_claim(event, "reason"),
            EventKind.CLAIM_RESOLVED: lambda event: self._record_claim(event, "state"),
        }

    def __call__(self, event: Event) -> None:
        """Update the metrics for one event."""
        handler = self._handlers.get(event.kind)
        if handler is not None:
            handler(event)

    def _received(self, event: Event) -> None:
        self._metrics.count_request(event.service, event.class_name)
        self._timings[event.request_id] = _Timing(self._clock())

    def _queued(self, event: Event) -> None:
        if event.role == "sidecar":
            self._timings[event.fields["attempt"]] = _Timing(self._clock())

    def _dispatched(self, event: Event) -> None:
        timing = self._timings.get(event.request_id)
        if event.fields["attempt"] > 1:
            self._metrics.count_retry(event.service, event.class_name)
        elif timing is not None:
            wait_s = self._clock() - timing.received_s
            self._metrics.observe_queue_wait(event.service, event.class_name, wait_s)

    def _started(self, event: Event) -> None:
        timing = self._timings.pop(event.fields["attempt"], None)
        if timing is not None:
            wait_s = self._clock() - timing.received_s
            self._metrics.observe_queue_wait(event.service, event.class_name, wait_s)

    def _first_token(self, event: Event) -> None:
        timing = self._timings.get(event.request_id)
        if timing is None:
            return
        now = self._clock()
        self._timings[event.request_id] = timing._replace(first_token_s=now)
        self._metrics.observe_first_token(event.service, event.class_name, now - timing.received_s)

    def _finished(self, event: Event) -> None:
        if event.role == "sidecar":
            if event.fields["reason"]:
                self._ended_early(event)
            return
        timing = self._timings.pop(event.request_id, None)
        if timing is None:
            return
        tokens = int(event.fields["tokens"])
        self._metrics.count_delivered_tokens(
            event.service, event.class_name, event.customer, tokens
        )
        total_s = self._clock() - timing.received_s
        first_s = total_s
        if timing.first_token_s is not None:
            first_s = timing.first_token_s - timing.received_s
        gap_s = 0.0
        if tokens > 1:
            # One observation per request, because one per token would take a large share of the
            # processor time of a stream.
            gap_s = (total_s - first_s) / (tokens - 1)
            self._metrics.observe_inter_token(event.service, event.class_name, gap_s, tokens - 1)
        self._record_attainment(event, first_s, gap_s, total_s)

    def _record_attainment(
        self, event: Event, first_s: float, gap_s: float, total_s: float
    ) -> None:
        document = self._find_document(event.service)
        cls = document.find_class(event.class_name) if document else None
        if document is None or cls is None:
            return
        if document.kind == "plain":
            met = total_s <= cls.target_total_s
        else:
            met = first_s <= cls.target_first_token_s and gap_s <= cls.target_inter_token_s
        self._metrics.count_attainment(event.service, event.class_name, met)

    def _ended_early(self, event: Event) -> None:
        """Count the tokens that a sidecar's endpoint computed for an undelivered attempt."""
        self._discard(event)
        if event.role == "sidecar" and event.fields["tokens"]:
            reason = str(event.fields["reason"])
            self._metrics.count_wasted_tokens(event.service, reason, int(event.fields["tokens"]))

    def _refused(self, event: Event) -> None:
        self._discard(event)
        reason = str(event.fields["reason"])
        self._metrics.count_refusal(event.service, reason)
        if reason not in CALLER_CAUSED_REASONS:
            self._metrics.count_attainment(event.service, event.class_name, False)

    def _record_claim(self, event: Event, field: str) -> None:
        self._metrics.count_claim(event.service, str(event.fields[field]))

    def _discard(self, event: Event) -> None:
        key = event.fields["attempt"] if event.role == "sidecar" else event.request_id
        self._timings.pop(key, None)
