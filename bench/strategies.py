"""A strategy: the parts that one run is built from."""

from collections.abc import Callable
from typing import NamedTuple

from cassiadrum.decisions import Dispatcher, EndpointScheduler
from cassiadrum.documents import RequestClass, ServiceDocument

__all__ = ["Strategy"]


class Strategy(NamedTuple):
    """Make the dispatchers and schedulers of one run.

    `make_dispatcher` takes the document, the number of entry instances and a seed.
    `resend_after_s` gives the time after which callers send an unanswered request again from its
    start, None for callers that wait.
    """

    name: str
    make_dispatcher: Callable[[ServiceDocument, int, str], Dispatcher]
    make_scheduler: Callable[[ServiceDocument], EndpointScheduler]
    resend_after_s: Callable[[RequestClass], float] | None = None
