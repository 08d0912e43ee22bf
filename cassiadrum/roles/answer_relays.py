"""Relaying of answers from attempts to callers."""

from cassiadrum.decisions import ExecutionStatus, Outcome
from cassiadrum.defaults import LIMITS
from cassiadrum.events import EventKind, EventRing
from cassiadrum.frontends import has_event
from cassiadrum.links.messages import Head
from cassiadrum.roles.attempts import Attempt
from cassiadrum.roles.caller_events import AnswerData, AnswerHead
from cassiadrum.roles.pending_requests import PendingRequest

__all__ = ["AnswerRelay"]

# Answers other than event streams are buffered up to this size, so that a failed attempt can be
# retried before the caller has received any part of it.
MAX_BUFFERED_BYTES = LIMITS.STREAM_BUFFER_BYTES // 2
RELAYED_HEADERS = frozenset({"content-type", "retry-after", "location", "etag", "cache-control"})


class AnswerRelay:
    """Relay from a request's winning attempt to the task that serves the caller.

    Event streams are relayed event by event, other answers after buffering.
    """

    def __init__(self, ring: EventRing) -> None:
        self._ring = ring

    def receive_head(self, pending: PendingRequest, attempt: Attempt, msg: Head) -> None:
        """Store status and headers; the head of an event stream is relayed at once."""
        attempt.status = msg.status
        attempt.headers = tuple((k, v) for k, v in msg.headers if k in RELAYED_HEADERS)
        if not self.is_compatible(pending, attempt):
            return
        if attempt.streaming and self._try_become_winner(pending, attempt):
            self._send_head(pending, attempt)

    def receive_data(
        self, pending: PendingRequest, attempt: Attempt, position: int, data: bytes, now: float
    ) -> int:
        """Process bytes at a position and return the number of new events.

        Bytes that were received before are skipped; bytes after a gap are discarded.
        """
        data = data[max(0, attempt.position - position) :]
        if position > attempt.position or not data:
            return 0
        attempt.position += len(data)
        if attempt.discarded:
            return 0
        if pending.winner not in (None, attempt.attempt_id):
            self._hold(pending, attempt, data)
            if not self._try_take_over(pending, attempt):
                return 0
            data = b""
        if pending.first_token_s is None:
            pending.first_token_s = now
            self._record_first_token(pending, attempt)
        if attempt.streaming and self.is_compatible(pending, attempt):
            return self._relay_events(pending, attempt, data)
        self._buffer(pending, attempt, data)
        return 0

    def is_compatible(self, pending: PendingRequest, attempt: Attempt) -> bool:
        """Return whether the answer can follow what the caller has already received.

        Only event streams can be continued by another attempt.
        """
        if not pending.head_sent:
            return True
        if not pending.streaming:
            return pending.head_attempt_id == attempt.attempt_id
        return (pending.streaming, pending.status) == (attempt.streaming, attempt.status)

    def is_whole(self, pending: PendingRequest, attempt: Attempt) -> bool:
        """Return whether the end of an attempt's complete answer is that of the caller's answer.

        It is not if the caller receives the answer of another copy, if bytes of this one were
        discarded, or if an earlier attempt had begun an event that has not come.
        """
        if pending.next_event_exists or attempt.discarded:
            return False
        if pending.winner not in (None, attempt.attempt_id):
            return False
        return self.is_compatible(pending, attempt)

    def finish(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Relay the rest of a complete answer."""
        if not self._try_become_winner(pending, attempt):
            return
        if attempt.streaming and attempt.buffered:
            self._relay_events(pending, attempt, b"")
        rest = pending.splitter.take_rest() if attempt.streaming else bytes(attempt.buffered)
        self._send_head(pending, attempt)
        if rest:
            pending.caller_events.put_nowait(
                AnswerData(rest, attempt.attempt_id, attempt.position)
            )

    def discard_partial(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Discard the incomplete event of a failed attempt and let another attempt win."""
        if pending.winner == attempt.attempt_id:
            pending.winner = None
            pending.next_event_exists |= pending.splitter.discard_partial_event()

    def restrict_retry(self, pending: PendingRequest, outcome: Outcome) -> Outcome:
        """Return the outcome, marked as final if the caller has part of an unresumable answer.

        Only event streams can be resumed by another attempt. The `ran` of a final outcome is never
        NOT_EXECUTED.
        """
        if not pending.head_sent or pending.streaming:
            return outcome
        ran = (
            ExecutionStatus.UNKNOWN if outcome.ran is ExecutionStatus.NOT_EXECUTED else outcome.ran
        )
        return outcome._replace(ran=ran, final=True)

    def _hold(self, pending: PendingRequest, attempt: Attempt, data: bytes) -> None:
        """Keep bytes of a copy that may still win; discard it otherwise."""
        attempt.buffered += data
        # Only the head of the winning stream was sent, which fits the other copy as well.
        fits = pending.streaming and attempt.streaming and self.is_compatible(pending, attempt)
        if pending.event_sent or not fits or len(attempt.buffered) > MAX_BUFFERED_BYTES:
            attempt.discarded = True
            attempt.buffered = bytearray()

    def _try_take_over(self, pending: PendingRequest, attempt: Attempt) -> bool:
        """Let a copy with a whole event win over one of which only the head was sent.

        The dispatcher lets the copy with the first token win, and engines send the head before it.
        """
        complete, _, _ = attempt.buffered.rpartition(b"\n\n")
        if attempt.discarded or not has_event(bytes(complete)):
            return False
        if pending.winner in pending.attempts:
            pending.attempts[pending.winner].discarded = True
        pending.splitter.discard_partial_event()
        pending.winner = attempt.attempt_id
        return True

    def _relay_events(self, pending: PendingRequest, attempt: Attempt, data: bytes) -> int:
        self._try_become_winner(pending, attempt)
        if attempt.buffered:
            data, attempt.buffered = bytes(attempt.buffered) + data, bytearray()
        before = pending.splitter.events
        events = pending.splitter.feed(data)
        if events:
            if (pending.next_event_exists or not pending.event_sent) and has_event(events):
                pending.next_event_exists = False
                pending.event_sent = True
            pending.caller_events.put_nowait(
                AnswerData(events, attempt.attempt_id, attempt.position)
            )
        return pending.splitter.events - before

    def _buffer(self, pending: PendingRequest, attempt: Attempt, data: bytes) -> None:
        if not self.is_compatible(pending, attempt):
            return
        if pending.head_sent:
            # Buffered bytes are acknowledged at once, which would lift the flow control towards
            # a slow caller.
            pending.caller_events.put_nowait(
                AnswerData(data, attempt.attempt_id, attempt.position)
            )
            return
        attempt.buffered += data
        if len(attempt.buffered) <= MAX_BUFFERED_BYTES or not self._try_become_winner(
            pending, attempt
        ):
            return
        self._send_head(pending, attempt)
        buffered, attempt.buffered = bytes(attempt.buffered), bytearray()
        pending.caller_events.put_nowait(
            AnswerData(buffered, attempt.attempt_id, attempt.position)
        )

    def _try_become_winner(self, pending: PendingRequest, attempt: Attempt) -> bool:
        if pending.winner is None:
            pending.winner = attempt.attempt_id
        return pending.winner == attempt.attempt_id

    def _send_head(self, pending: PendingRequest, attempt: Attempt) -> None:
        if pending.head_sent:
            return
        pending.head_sent = True
        pending.head_attempt_id = attempt.attempt_id
        pending.streaming = attempt.streaming
        pending.status = attempt.status
        answer_id = f"{attempt.attempt_id}@{attempt.instance}"
        pending.caller_events.put_nowait(AnswerHead(attempt.status, attempt.headers, answer_id))

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
