"""What a request to a service has in common with others."""

from cassiadrum.crash_evidence import Contents, customer_content, part_contents, request_content
from cassiadrum.decisions import QueuedRequest
from cassiadrum.protocols import HttpRequest

__all__ = ["find_contents"]


def find_contents(req: QueuedRequest, http: HttpRequest, target: str) -> Contents:
    """Return the contents of a request; the prefixes of its prompt are its parts."""
    contents = part_contents(f"{key:x}" for key in req.prefix_keys)
    fields = (http.method.encode(), req.service.encode(), target.encode(), http.body)
    contents[request_content(*fields)] = len(req.prefix_keys)
    contents[customer_content(req.customer)] = 0
    return contents
