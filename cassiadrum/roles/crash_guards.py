"""Protection of the endpoints behind sidecars from requests under which they end."""

import logging
from collections.abc import Callable
from random import Random
from typing import Final

from cassiadrum.crash_evidence import (
    Content,
    ContentTrials,
    CrashBoard,
    HarmEvidence,
    find_request,
    harm_fields,
)
from cassiadrum.decisions import ExecutionStatus, Outcome, Refuse
from cassiadrum.links.messages import CrashReport
from cassiadrum.logs import RATE_LIMITED_FIELD
from cassiadrum.roles.crash_reports import make_crash_report, read_crash_report
from cassiadrum.roles.pending_requests import PendingRequest

__all__ = ["HARMFUL_CONTENT", "CrashGuard"]

logger = logging.getLogger(__name__)

HARMFUL_CONTENT = "harmful_content"
# Positions of entry instances in the order in which they try a content in doubt.
TRIAL_RANKS: Final = 3
# Reason of an attempt whose endpoint may have ended under it.
ANSWER_LOST = "answer_lost"


class CrashGuard:
    """The contents of requests that end endpoints, as an entry instance knows from its sidecars.

    `clock` returns monotonic seconds. `on_harmful` is called when a content is found to be
    harmful, `on_news` when this instance has answers that others do not know.
    """

    def __init__(self, clock: Callable[[], float], rng: Random) -> None:
        self.on_harmful: Callable[[], None] = lambda: None
        self.on_news: Callable[[], None] = lambda: None
        self._clock = clock
        self.board = CrashBoard(clock, rng)
        # Entry instances have no list of each other, so that each draws its position.
        rank = rng.randrange(TRIAL_RANKS)
        self._trials = ContentTrials(self.board, lambda key: rank, clock)
        self.board.on_change = self._board_changed
        self.board.on_answers = self.board.on_news = self._tell
        self._harmful: dict[Content, HarmEvidence] = {}

    def admit(self, pending: PendingRequest) -> Refuse | None:
        """Return the refusal of a new request that holds a harmful content, None for any other.

        One that is to be tried is not refused.
        """
        pending.tried_content = self._trials.try_admit(pending.contents)
        if pending.tried_content is not None:
            _log(
                "request sent although endpoints ended under a content of it",
                request_id=pending.queued.request_id,
                content=str(pending.tried_content),
            )
        return self.find_refusal(pending)

    def find_refusal(self, pending: PendingRequest) -> Refuse | None:
        """Return the refusal of a request that holds a harmful content, None for any other."""
        found = self.board.find_harmful(pending.contents, pending.tried_content)
        if found is None:
            return None
        ran = ExecutionStatus.UNKNOWN if pending.attempts_made else ExecutionStatus.NOT_EXECUTED
        retry_after_s = self.board.retry_after_s(found.evidence)
        return Refuse(pending.queued, HARMFUL_CONTENT, ran, retry_after_s)

    def has_crash(self, pending: PendingRequest) -> bool:
        """Return whether an endpoint has ended under such a request, with no answer since."""
        content = find_request(pending.contents)
        return content is not None and self.board.has_crash(content)

    def restrict_retry(self, pending: PendingRequest, outcome: Outcome) -> Outcome:
        """Return the outcome of a failed attempt, final if the request must not be sent on.

        It must not if it is harmful, or may be what ended its endpoint.
        """
        harmful = self.board.find_harmful(pending.contents) is not None
        if harmful and outcome.ran is ExecutionStatus.NOT_EXECUTED:
            return outcome._replace(final=True, reason=HARMFUL_CONTENT)
        lost = outcome.reason == ANSWER_LOST and not pending.event_sent
        if harmful or (lost and self.board.is_suspect(pending.contents)):
            return outcome._replace(final=True)
        return outcome

    def apply(self, report: CrashReport) -> None:
        """Apply what a sidecar tells."""
        self.board.apply([read_crash_report(report, self._clock())])

    def report(self) -> CrashReport:
        """Return what this instance tells the others."""
        return make_crash_report(self.board.own_news(), self._clock())

    def _tell(self) -> None:
        self.on_news()

    def _board_changed(self) -> None:
        harmful = dict(self.board.harmful)
        added = [content for content in harmful if content not in self._harmful]
        for content in added:
            _log(
                "requests refused that hold a content under which endpoints ended",
                **harm_fields(self.board, content, harmful[content]),
            )
        for content in self._harmful.keys() - harmful.keys():
            _log("requests no longer refused for a content", content=str(content))
        self._harmful = harmful
        if added:
            self.on_harmful()


def _log(event: str, **fields: object) -> None:
    """Log a change; the rate at which endpoints end limits the number of these lines."""
    logger.info(event, extra={RATE_LIMITED_FIELD: True, **fields})
