"""Output length estimator with histograms by class and customer."""

from collections import OrderedDict
from collections.abc import Hashable
from typing import TypeVar

from cassiadrum.decisions.length_estimators import LengthEstimator
from cassiadrum.decisions.log_histograms import LogHistogram

__all__ = ["QuantileLengthEstimator"]

DEFAULT_OUTPUT_TOKENS = 200.0
# With fewer observations, the quantile of the class is the better estimate for a customer.
MIN_OBSERVATIONS = 16
# At 0.5 KB each, 2 MB of the daemon's 64 MB.
MAX_CUSTOMERS = 4096
MAX_CLASSES = 256

K = TypeVar("K", bound=Hashable)


class QuantileLengthEstimator(LengthEstimator):
    """Estimator with one histogram per class and per recent customer of a class.

    The least recently observed customers are evicted and then use the histogram of their class.
    """

    def __init__(
        self, max_customers: int = MAX_CUSTOMERS, default_tokens: float = DEFAULT_OUTPUT_TOKENS
    ) -> None:
        self._max_customers = max_customers
        self._default_tokens = default_tokens
        self._classes: OrderedDict[str, LogHistogram] = OrderedDict()
        self._customers: OrderedDict[tuple[str, str], LogHistogram] = OrderedDict()

    def estimate(self, class_name: str, customer: str, quantile: float) -> float:
        """Return the quantile for the customer, else for its class, else the default."""
        customer_histogram = self._customers.get((class_name, customer))
        if customer_histogram is not None and customer_histogram.total >= MIN_OBSERVATIONS:
            return customer_histogram.quantile(quantile)
        class_histogram = self._classes.get(class_name)
        return class_histogram.quantile(quantile) if class_histogram else self._default_tokens

    def observe(self, class_name: str, customer: str, tokens: int) -> None:
        """Record an output length for the customer and its class."""
        _most_recent(self._classes, class_name, MAX_CLASSES).add(tokens)
        _most_recent(self._customers, (class_name, customer), self._max_customers).add(tokens)

    def customers(self) -> int:
        """Return the number of customers with a histogram of their own."""
        return len(self._customers)


def _most_recent(kept: OrderedDict[K, LogHistogram], key: K, limit: int) -> LogHistogram:
    histogram = kept.pop(key, None) or LogHistogram()
    kept[key] = histogram
    if len(kept) > limit:
        kept.popitem(last=False)
    return histogram
