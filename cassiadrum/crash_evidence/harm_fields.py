"""Beliefs about harmful contents as fields of log lines."""

from typing import Final

from cassiadrum.crash_evidence.contents import Content
from cassiadrum.crash_evidence.crash_boards import CrashBoard
from cassiadrum.crash_evidence.crash_causes import HarmEvidence

__all__ = ["harm_fields"]

MAX_LOGGED_ENDPOINTS: Final = 8


def harm_fields(board: CrashBoard, content: Content, evidence: HarmEvidence) -> dict[str, object]:
    """Return a belief with its evidence, the age of that, and the time until the belief ends."""
    return {
        "content": str(content),
        "crashes": evidence.crashes,
        "moments": evidence.moments,
        "requests": evidence.requests,
        "strength": round(evidence.strength, 1),
        "endpoints": list(evidence.endpoints[-MAX_LOGGED_ENDPOINTS:]),
        "last_crash_age_s": round(board.age_s(evidence), 3),
        "evidence_s": round(evidence.last_s - evidence.first_s, 3),
        "ends_in_s": round(board.ends_in_s(evidence)),
        "trial_delay_s": evidence.trial_delay_s,
    }
