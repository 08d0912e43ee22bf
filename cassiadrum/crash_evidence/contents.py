"""Contents of requests, by which requests that end endpoints can be told from others."""

import hashlib
import re
from collections.abc import Iterable
from enum import StrEnum
from typing import Final, NamedTuple

__all__ = [
    "Content",
    "ContentKind",
    "Contents",
    "customer_content",
    "find_request",
    "part_contents",
    "request_content",
]

# Callers choose the names of parts; a longer one is replaced by its digest.
MAX_NAME_CHARS: Final = 24
DIGEST_BYTES: Final = 8
HEX_NAME = re.compile(r"[0-9a-fA-F]+", re.ASCII)


class ContentKind(StrEnum):
    """What a request has in common with others.

    The kinds are in the order in which they are blamed for equal evidence: the fewer sound
    requests are refused for it, the earlier.
    """

    REQUEST = "request"
    PART = "part"
    CUSTOMER = "customer"


class Content(NamedTuple):
    """Something that a request holds, and that other requests may hold as well."""

    kind: ContentKind
    name: str

    def __str__(self) -> str:
        return f"{self.kind}:{self.name}"


# Contents of one request with their depth. That of a part is its position in the prompt, as a part
# is used by fewer requests than those before it. That of a whole request is the number of parts.
Contents = dict[Content, int]


def part_contents(part_ids: Iterable[str]) -> Contents:
    """Return the contents of the parts of a prompt, which are given in order."""
    return {
        Content(ContentKind.PART, _part_name(part_id)): depth
        for depth, part_id in enumerate(part_ids)
    }


def request_content(*fields: bytes) -> Content:
    """Return the content that stands for a whole request, by the fields that make it up."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(8))
        digest.update(field)
    return Content(ContentKind.REQUEST, digest.hexdigest())


def find_request(contents: Contents) -> Content | None:
    """Return the content that stands for the whole request among those of one request."""
    return next((found for found in contents if found.kind is ContentKind.REQUEST), None)


def customer_content(name: str) -> Content:
    """Return the content that stands for all requests of a customer."""
    return Content(ContentKind.CUSTOMER, _bounded(name))


def _part_name(part_id: str) -> str:
    """Return the same name for all ways to write a hexadecimal identifier."""
    if HEX_NAME.fullmatch(part_id):
        part_id = part_id.lower().lstrip("0")
    return _bounded(part_id)


def _bounded(name: str) -> str:
    if len(name) <= MAX_NAME_CHARS and name.isprintable():
        return name
    digest = hashlib.blake2b(name.encode(errors="surrogatepass"), digest_size=DIGEST_BYTES)
    return f"#{digest.hexdigest()}"
