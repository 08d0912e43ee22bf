"""Evidence on which contents of requests end endpoints, for both ways to an endpoint."""

from cassiadrum.crash_evidence.content_texts import (
    CONTENT_PATTERN,
    CONTENTS_PATTERN,
    decode_content,
    decode_contents,
    decode_crash,
    decode_exposures,
    encode_contents,
    encode_crash,
)
from cassiadrum.crash_evidence.content_trials import ContentTrials
from cassiadrum.crash_evidence.contents import (
    Content,
    ContentKind,
    Contents,
    customer_content,
    find_request,
    part_contents,
    request_content,
)
from cassiadrum.crash_evidence.crash_boards import (
    BELIEF_S,
    CrashBoard,
    CrashNews,
    HarmfulContent,
)
from cassiadrum.crash_evidence.crash_causes import HarmEvidence, find_causes
from cassiadrum.crash_evidence.crash_records import EVIDENCE_S
from cassiadrum.crash_evidence.endpoint_crashes import AnsweredContent, EndpointCrash
from cassiadrum.crash_evidence.exposures import Exposure
from cassiadrum.crash_evidence.harm_fields import harm_fields

__all__ = [
    "BELIEF_S",
    "CONTENTS_PATTERN",
    "CONTENT_PATTERN",
    "EVIDENCE_S",
    "AnsweredContent",
    "Content",
    "ContentKind",
    "ContentTrials",
    "Contents",
    "CrashBoard",
    "CrashNews",
    "EndpointCrash",
    "Exposure",
    "HarmEvidence",
    "HarmfulContent",
    "customer_content",
    "decode_content",
    "decode_contents",
    "decode_crash",
    "decode_exposures",
    "encode_contents",
    "encode_crash",
    "find_causes",
    "find_request",
    "harm_fields",
    "part_contents",
    "request_content",
]
