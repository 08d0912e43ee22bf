"""A strategy: factories of the dispatchers and schedulers of a run."""

from collections.abc import Callable
from typing import NamedTuple

from cassiadrum.decisions import Dispatcher, EndpointScheduler
from cassiadrum.documents import RequestClass, ServiceDocument

__all__ = ["Strategy"]


class Strategy(NamedTuple):
    """Factories of the dispatchers and schedulers of one run.

    `make_dispatcher` takes the document, the number of entry instances and a seed.
    `resend_after_s` returns the seconds after which callers of a class send an unanswered request
    again from its start; with None callers wait for the answer.
    """

    name: str
    make_dispatcher: Callable[[ServiceDocument, int, str], Dispatcher]
    make_scheduler: Callable[[ServiceDocument], EndpointScheduler]
    resend_after_s: Callable[[RequestClass], float] | None = None
