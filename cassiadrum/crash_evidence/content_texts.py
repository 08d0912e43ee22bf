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

# A kind, which this version need not know, and a name.
KIND_PATTERN: Final = r"^[a-z_]{1,16}:"
NAME_PATTERN: Final = r"[^\x00-\x1f]{0,64}$"
CONTENT_PATTERN: Final = KIND_PATTERN + NAME_PATTERN
# A content with its depth.
CONTENTS_PATTERN: Final = KIND_PATTERN + "[0-9]{1,6}:" + NAME_PATTERN
KINDS: Final = frozenset(ContentKind)


def encode_contents(contents: Contents) -> list[str]:
    """Return contents as texts that match CONTENTS_PATTERN."""
    return [f"{content.kind}:{depth}:{content.name}" for content, depth in contents.items()]


def decode_contents(texts: Iterable[str]) -> Contents:
    """Return the contents in texts that match CONTENTS_PATTERN; those of other kinds are left out.

    A process of a later version may tell them.
    """
    contents = {}
    for text in texts:
        kind, depth, name = text.split(":", 2)
        if kind in KINDS:
            contents[Content(ContentKind(kind), name)] = int(depth)
    return contents


def decode_content(text: str) -> Content | None:
    """Return the content in a text that matches CONTENT_PATTERN, None if its kind is unknown."""
    kind, _, name = text.partition(":")
    return Content(ContentKind(kind), name) if kind in KINDS else None
