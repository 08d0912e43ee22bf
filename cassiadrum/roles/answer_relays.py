"""Relay of answers from attempts to callers."""

from cassiadrum.decisions import ExecutionStatus, Outcome
from cassiadrum.defaults import LIMITS
from cassiadrum.events import EventKind, EventRing
from cassiadrum.links.messages import Head
from cassiadrum.roles.attempts import Attempt
from cassiadrum.roles.caller_events import AnswerData, AnswerHead
from cassiadrum.roles.pending_requests import PendingRequest

__all__ = ["AnswerRelay"]

# Answers that are no event streams are held back up to this size, so that a failed attempt can
# be repeated before the caller has seen any of it.
HOLD_BYTES = LIMITS.STREAM_BUFFER_BYTES // 2
RELAYED_HEADERS = frozenset({"content-type", "retry-after", "location", "etag", "cache-control"})


class AnswerRelay:
    """Pass whole events, or held answers, of the winning attempt to the caller."""

    def __init__(self, ring: EventRing) -> None:
        self._ring = ring

    def head(self, pending: PendingRequest, attempt: Attempt, msg: Head) -> None:
        """Take status and headers; an event stream is passed on at once."""
        attempt.status = msg.status
        attempt.headers = tuple((k, v) for k, v in msg.headers if k in RELAYED_HEADERS)
        if attempt.streaming and self._wins(pending, attempt):
            self._send_head(pending, attempt)

    def data(
        self, pending: PendingRequest, attempt: Attempt, position: int, data: bytes, now: float
    ) -> int:
        """Take bytes at a position, skip what was received before, return the new events."""
        data = data[max(0, attempt.position - position) :]
        if position > attempt.position or not data:
            return 0
        attempt.position += len(data)
        if pending.winner not in (None, attempt.attempt_id):
            return 0
        if pending.first_token_s is None:
            pending.first_token_s = now
            self._record_first_token(pending, attempt)
        if attempt.streaming:
            return self._stream(pending, attempt, data)
        self._hold(pending, attempt, data)
        return 0

    def continues(self, pending: PendingRequest, attempt: Attempt) -> bool:
        """Tell whether the attempt's answer fits what the caller already has."""
        return not pending.head_sent or pending.streaming == attempt.streaming

    def finish(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Pass on what is left of a whole answer."""
        if not self._wins(pending, attempt):
            return
        rest = pending.splitter.rest() if attempt.streaming else bytes(attempt.held)
        self._send_head(pending, attempt)
        if rest:
            pending.events.put_nowait(AnswerData(rest, attempt.attempt_id, attempt.position))

    def failed(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Forget the unfinished part of a failed attempt."""
        if pending.winner == attempt.attempt_id:
            pending.winner = None
            pending.splitter.restart()

    def repeatable(self, pending: PendingRequest, outcome: Outcome) -> Outcome:
        """Mark a failure as final when the caller has a part that no other attempt continues."""
        if not pending.head_sent or pending.streaming:
            return outcome
        ran = (
            ExecutionStatus.UNKNOWN if outcome.ran is ExecutionStatus.NOT_EXECUTED else outcome.ran
        )
        return outcome._replace(ran=ran, final=True)

    def _stream(self, pending: PendingRequest, attempt: Attempt, data: bytes) -> int:
        before = pending.splitter.events
        whole = pending.splitter.feed(data)
        if whole:
            pending.events.put_nowait(AnswerData(whole, attempt.attempt_id, attempt.position))
        return pending.splitter.events - before

    def _hold(self, pending: PendingRequest, attempt: Attempt, data: bytes) -> None:
        if not self.continues(pending, attempt):
            return
        if pending.head_sent:
            # Held again it would be acknowledged before the caller took it.
            pending.events.put_nowait(AnswerData(data, attempt.attempt_id, attempt.position))
            return
        attempt.held += data
        if len(attempt.held) <= HOLD_BYTES or not self._wins(pending, attempt):
            return
        self._send_head(pending, attempt)
        held, attempt.held = bytes(attempt.held), bytearray()
        pending.events.put_nowait(AnswerData(held, attempt.attempt_id, attempt.position))

    def _wins(self, pending: PendingRequest, attempt: Attempt) -> bool:
        if pending.winner is None:
            pending.winner = attempt.attempt_id
        return pending.winner == attempt.attempt_id

    def _send_head(self, pending: PendingRequest, attempt: Attempt) -> None:
        if pending.head_sent:
            return
        pending.head_sent = True
        pending.streaming = attempt.streaming
        answer_id = f"{attempt.attempt_id}@{attempt.instance}"
        pending.events.put_nowait(AnswerHead(attempt.status, attempt.headers, answer_id))

    def _record_first_token(self, pending: PendingRequest, attempt: Attempt) -> None:
        req = pending.queued
        self._ring.record(
            EventKind.FIRST_TOKEN,
            req.request_id,
            req.service,
            req.class_name,
            req.customer,
            endpoint=attempt.instance,
        )
