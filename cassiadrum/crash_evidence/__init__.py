"""Evidence on which contents of requests end endpoints, for both ways to an endpoint."""

from cassiadrum.crash_evidence.contents import (
    Content,
    ContentKind,
    Contents,
    customer_content,
    part_contents,
    request_content,
)

__all__ = [
    "Content",
    "ContentKind",
    "Contents",
    "customer_content",
    "part_contents",
    "request_content",
]
