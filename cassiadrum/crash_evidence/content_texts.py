"""Contents of requests as texts, for messages and stored rows."""

from collections.abc import Iterable, Mapping
from typing import Final

from cassiadrum.crash_evidence.contents import Content, ContentKind, Contents
from cassiadrum.crash_evidence.endpoint_crashes import EndpointCrash
from cassiadrum.crash_evidence.exposures import Exposure

__all__ = [
    "CONTENTS_PATTERN",
    "CONTENT_PATTERN",
    "decode_content",
    "decode_contents",
    "decode_crash",
    "decode_exposures",
    "encode_contents",
    "encode_crash",
]

# A kind, which this version need not know, and a name.
KIND_PATTERN: Final = r"^[a-z_]{1,16}:"
NAME_PATTERN: Final = r"[^\x00-\x1f]{0,64}$"
CONTENT_PATTERN: Final = KIND_PATTERN + NAME_PATTERN
# A content with its depth.
CONTENTS_PATTERN: Final = KIND_PATTERN + "[0-9]{1,6}:" + NAME_PATTERN
MAX_NUMBER: Final = 999_999
KINDS: Final = frozenset(ContentKind)
# Kinds of texts beside the contents, which earlier versions leave out: milliseconds for which a
# whole request was at the endpoint, that it was sent again, that it had events of its answer, and
# the endpoints of the service.
HELD: Final = "held"
RESENT: Final = "resent"
BEGUN: Final = "begun"
PEERS: Final = "peers"


def encode_contents(
    contents: Contents, exposures: Mapping[Content, Exposure] | None = None
) -> list[str]:
    """Return contents and their exposures as texts that match CONTENTS_PATTERN."""
    texts = [_encode(content.kind, depth, content.name) for content, depth in contents.items()]
    for content, exposure in (exposures or {}).items():
        if content not in contents:
            continue
        if exposure.held_s is not None:
            texts.append(_encode(HELD, round(exposure.held_s * 1000), content.name))
        if exposure.resent:
            texts.append(_encode(RESENT, 0, content.name))
        if exposure.begun:
            texts.append(_encode(BEGUN, 0, content.name))
    return texts


def encode_crash(crash: EndpointCrash) -> list[str]:
    """Return what a crash tells of contents as texts that match CONTENTS_PATTERN."""
    return [*encode_contents(crash.contents, crash.exposures), _encode(PEERS, crash.peers, "")]


def decode_contents(texts: Iterable[str]) -> Contents:
    """Return the contents in texts that match CONTENTS_PATTERN; those of other kinds are left out.

    A process of a later version may tell them.
    """
    contents = {}
    for kind, number, name in map(_split, texts):
        if kind in KINDS:
            contents[Content(ContentKind(kind), name)] = number
    return contents


def decode_exposures(texts: Iterable[str]) -> dict[Content, Exposure]:
    """Return the exposures in texts that match CONTENTS_PATTERN."""
    exposures: dict[Content, Exposure] = {}
    for kind, number, name in map(_split, texts):
        content = Content(ContentKind.REQUEST, name)
        known = exposures.get(content, Exposure())
        if kind == HELD:
            exposures[content] = known._replace(held_s=number / 1000)
        elif kind == RESENT:
            exposures[content] = known._replace(resent=True)
        elif kind == BEGUN:
            exposures[content] = known._replace(begun=True)
    return exposures


def decode_crash(endpoint: str, at_s: float, texts: list[str]) -> EndpointCrash:
    """Return a crash with what texts that match CONTENTS_PATTERN tell of it."""
    peers = max((number for kind, number, _ in map(_split, texts) if kind == PEERS), default=1)
    return EndpointCrash(
        endpoint, at_s, decode_contents(texts), decode_exposures(texts), max(1, peers)
    )


def decode_content(text: str) -> Content | None:
    """Return the content in a text that matches CONTENT_PATTERN, None if its kind is unknown."""
    kind, _, name = text.partition(":")
    return Content(ContentKind(kind), name) if kind in KINDS else None


def _encode(kind: str, number: int, name: str) -> str:
    return f"{kind}:{min(max(0, number), MAX_NUMBER)}:{name}"


def _split(text: str) -> tuple[str, int, str]:
    kind, number, name = text.split(":", 2)
    return kind, int(number), name
