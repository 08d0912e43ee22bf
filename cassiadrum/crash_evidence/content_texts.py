"""Contents of requests as texts, for messages and stored rows."""

from collections.abc import Iterable
from typing import Final

from cassiadrum.crash_evidence.contents import Content, ContentKind, Contents

__all__ = [
    "CONTENTS_PATTERN",
    "CONTENT_PATTERN",
    "decode_content",
    "decode_contents",
    "encode_contents",
]

NAME_PATTERN: Final = r"[^\x00-\x1f]{0,64}$"
CONTENT_PATTERN: Final = rf"^(part|request|customer):{NAME_PATTERN}"
# A content with its depth.
CONTENTS_PATTERN: Final = rf"^(part|request|customer):[0-9]{{1,6}}:{NAME_PATTERN}"


def encode_contents(contents: Contents) -> list[str]:
    """Return contents as texts that match CONTENTS_PATTERN."""
    return [f"{content.kind}:{depth}:{content.name}" for content, depth in contents.items()]


def decode_contents(texts: Iterable[str]) -> Contents:
    """Return the contents in texts that match CONTENTS_PATTERN."""
    contents = {}
    for text in texts:
        kind, depth, name = text.split(":", 2)
        contents[Content(ContentKind(kind), name)] = int(depth)
    return contents


def decode_content(text: str) -> Content:
    """Return the content in a text that matches CONTENT_PATTERN, as `str()` writes it."""
    kind, _, name = text.partition(":")
    return Content(ContentKind(kind), name)
