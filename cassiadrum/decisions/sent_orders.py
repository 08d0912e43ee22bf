"""Order that was sent to an engine."""

import math
from typing import NamedTuple

from cassiadrum.decisions.engine_orders import EngineOrder

__all__ = ["SentOrder"]


class SentOrder(NamedTuple):
    """An order with the times, in monotonic seconds, at which it was sent and answered."""

    order: EngineOrder
    sent_s: float
    answered_s: float = math.inf
